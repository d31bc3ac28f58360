"""Interface to the files of a data directory."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Disk(ABC):
    """Files of one flat directory.

    File contents are durable after `sync`; created, renamed and removed names
    are durable after `sync_directory`. Every method raises `DiskError` or
    `DiskFullError` on failure. After a failed `sync` the durable contents are
    unknown, even if a later `sync` succeeds.
    """

    @abstractmethod
    def file_names(self) -> list[str]:
        """Return the sorted names of all files."""

    @abstractmethod
    def read(self, name: str) -> bytes:
        """Return the contents of a file."""

    @abstractmethod
    def append(self, name: str, blob: bytes) -> None:
        """Append to a file, creating it if it does not exist."""

    @abstractmethod
    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""

    @abstractmethod
    def sync_directory(self) -> None:
        """Make created, renamed and removed names durable."""

    @abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file."""

    def replace(self, name: str, blob: bytes) -> None:
        """Atomically and durably replace the contents of a file."""
        temporary = name + TEMPORARY_SUFFIX
        if temporary in self.file_names():
            self.remove(temporary)
        self.append(temporary, blob)
        self.sync(temporary)
        self.rename(temporary, name)
        self.sync_directory()


TEMPORARY_SUFFIX = '.tmp'
