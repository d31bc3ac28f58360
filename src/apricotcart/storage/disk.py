"""Interface to the files of a data directory."""

from __future__ import annotations

from abc import ABC, abstractmethod

from apricotcart.storage.failures import DiskFullError


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
        """Atomically and durably replace the contents of a file.

        Raises
        ------
        DiskFullError
            If there is no room for both contents; nothing has changed.
        """
        temporary = name + TEMPORARY_SUFFIX
        self._remove_if_present(temporary)
        try:
            self._append_and_sync(temporary, blob)
        except DiskFullError:
            self._remove_if_present(temporary)
            raise
        self.rename(temporary, name)
        self.sync_directory()

    def _remove_if_present(self, name: str) -> None:
        if name in self.file_names():
            self.remove(name)

    def _append_and_sync(self, name: str, blob: bytes) -> None:
        self.append(name, blob)
        self.sync(name)


TEMPORARY_SUFFIX = '.tmp'
