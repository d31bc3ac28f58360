"""Interface to the files of one data directory."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Disk(ABC):
    """Files of one flat directory.

    Contents are durable after `sync`, and names after `sync_folder`. Every
    method raises `DiskError` or `DiskFullError` on a failure. After a failed
    `sync` the contents are unknown, and a second `sync` proves nothing.
    """

    @abstractmethod
    def names(self) -> list[str]:
        """Give the names of all files, sorted."""

    @abstractmethod
    def read(self, name: str) -> bytes:
        """Read a whole file."""

    @abstractmethod
    def append(self, name: str, blob: bytes) -> None:
        """Write at the end of a file, which is created if missing."""

    @abstractmethod
    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""

    @abstractmethod
    def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""

    @abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Rename a file over any file of the new name."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file."""

    def replace(self, name: str, blob: bytes) -> None:
        """Replace the contents of a file, all or nothing, durably."""
        temporary = name + TEMPORARY_SUFFIX
        if temporary in self.names():
            self.remove(temporary)
        self.append(temporary, blob)
        self.sync(temporary)
        self.rename(temporary, name)
        self.sync_folder()


TEMPORARY_SUFFIX = '.tmp'
