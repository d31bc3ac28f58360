"""A data directory of the operating system."""

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
_FOLDER_MODE = 0o700
_NO_FILE = -1


class RealDisk(Disk):
    """Files below one path, held by one process at a time."""

    def __init__(self, path: Path) -> None:
        """Create the directory if missing and lock it.

        Raises
        ------
        DirectoryInUseError
            If another process holds the directory.
        """
        self._path = path
        self._open_name = ''
        self._open_file = _NO_FILE
        with _translated(str(path)):
            path.mkdir(mode=_FOLDER_MODE, parents=True, exist_ok=True)
            self._folder = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            fcntl.flock(self._folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(self._folder)
            raise DirectoryInUseError(f'{path} is in use') from exc

    def close(self) -> None:
        """Close all files and give up the lock."""
        self._close_file()
        os.close(self._folder)

    def names(self) -> list[str]:
        """Give the names of all files, sorted."""
        with _translated(str(self._path)):
            return sorted(os.listdir(self._path))

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        with _translated(name):
            return (self._path / name).read_bytes()

    def append(self, name: str, blob: bytes) -> None:
        """Write at the end of a file, which is created if missing."""
        rest = memoryview(blob)
        with _translated(name):
            self._open(name)
            while rest:
                written = os.write(self._open_file, rest)
                rest = rest[written:]

    def sync(self, name: str) -> None:
        """Make the contents of a file durable."""
        with _translated(name):
            self._open(name)
            os.fsync(self._open_file)

    def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        with _translated(str(self._path)):
            os.fsync(self._folder)

    def rename(self, old: str, new: str) -> None:
        """Rename a file over any file of the new name."""
        self._close_file()
        with _translated(old):
            os.replace(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file()
        with _translated(name):
            os.unlink(self._path / name)

    def _open(self, name: str) -> None:
        # The file stays open between an append and its sync, because the
        # kernel reports a failed write-back to the open file.
        if name == self._open_name:
            return
        self._close_file()
        path = self._path / name
        self._open_file = os.open(path, _APPEND_FLAGS, _FILE_MODE)
        self._open_name = name

    def _close_file(self) -> None:
        if self._open_file != _NO_FILE:
            os.close(self._open_file)
        self._open_file = _NO_FILE
        self._open_name = ''


@contextmanager
def _translated(name: str) -> Iterator[None]:
    try:
        yield
    except OSError as exc:
        message = f'{name}: {exc.strerror}'
        if exc.errno in {errno.ENOSPC, errno.EDQUOT}:
            raise DiskFullError(message) from exc
        raise DiskError(message) from exc
