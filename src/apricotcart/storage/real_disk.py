"""Data directory in the file system."""

from __future__ import annotations

import errno
import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from apricotcart.storage.disk import Disk
from apricotcart.storage.failures import (
    DirectoryInUseError,
    DiskError,
    DiskFullError,
)

_APPEND_FLAGS = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
_FILE_MODE = 0o600
_DIRECTORY_MODE = 0o700
_NO_FD = -1


class RealDisk(Disk):
    """Files in one directory, locked by one process at a time."""

    def __init__(self, path: Path) -> None:
        """Create the directory if it does not exist and lock it.

        Raises
        ------
        DirectoryInUseError
            If another process has locked the directory.
        """
        self._path = path
        self._open_file_name = ''
        self._open_fd = _NO_FD
        with _translate_os_errors(str(path)):
            path.mkdir(mode=_DIRECTORY_MODE, parents=True, exist_ok=True)
            self._directory_fd = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            fcntl.flock(self._directory_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(self._directory_fd)
            raise DirectoryInUseError(
                f'{path} is locked by another process'
            ) from exc

    def close(self) -> None:
        """Close all files and release the lock."""
        self._close_file()
        os.close(self._directory_fd)

    def file_names(self) -> list[str]:
        """Return the sorted names of all files."""
        with _translate_os_errors(str(self._path)):
            return sorted(os.listdir(self._path))

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        with _translate_os_errors(name):
            return (self._path / name).read_bytes()

    def append(self, name: str, blob: bytes) -> None:
        """Append to a file, creating it if it does not exist."""
        remaining = memoryview(blob)
        with _translate_os_errors(name):
            self._open(name)
            while remaining:
                written = os.write(self._open_fd, remaining)
                remaining = remaining[written:]

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        with _translate_os_errors(name):
            self._open(name)
            os.fsync(self._open_fd)

    def sync_directory(self) -> None:
        """Make created, renamed and removed names durable."""
        with _translate_os_errors(str(self._path)):
            os.fsync(self._directory_fd)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""
        self._close_file()
        with _translate_os_errors(old):
            os.replace(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file()
        with _translate_os_errors(name):
            os.unlink(self._path / name)

    def _open(self, name: str) -> None:
        # The file stays open between an append and its sync, because the
        # kernel reports a failed write-back to the open descriptor.
        if name == self._open_file_name:
            return
        self._close_file()
        path = self._path / name
        self._open_fd = os.open(path, _APPEND_FLAGS, _FILE_MODE)
        self._open_file_name = name

    def _close_file(self) -> None:
        if self._open_fd != _NO_FD:
            os.close(self._open_fd)
        self._open_fd = _NO_FD
        self._open_file_name = ''


@contextmanager
def _translate_os_errors(name: str) -> Iterator[None]:
    try:
        yield
    except OSError as exc:
        message = f'{name}: {exc.strerror}'
        if exc.errno in {errno.ENOSPC, errno.EDQUOT}:
            raise DiskFullError(message) from exc
        raise DiskError(message) from exc
