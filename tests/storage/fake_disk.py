"""In-memory disk that can lose, tear and damage writes."""

from __future__ import annotations

import random

from apricotcart.storage.disk import Disk
from apricotcart.storage.failures import DiskError, DiskFullError


class FakeFile:
    """Contents visible to the process, and the durable contents."""

    def __init__(self) -> None:
        self.contents = b''
        self.durable_contents = b''
        self.sync_failed = False


class PowerLossError(Exception):
    """The host lost power during a disk operation."""


class FakeDisk(Disk):
    """Keeps only synced data across `crash`.

    After a failed sync, later syncs of the file report success without
    making it durable, like the page cache of Linux.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random(0)
        self.files: dict[str, FakeFile] = {}
        self.durable_names: dict[str, FakeFile] = {}
        self.fail_syncs = False
        self.fail_directory_syncs = False
        self.capacity: int | None = None
        self.sync_count = 0
        self.calls_until_power_loss: int | None = None

    def file_names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name].contents

    def append(self, name: str, blob: bytes) -> None:
        self._count_call()
        file = self.files.setdefault(name, FakeFile())
        if self.capacity is not None:
            free_bytes = self.capacity - self.size()
            if free_bytes < len(blob):
                file.contents += blob[: max(free_bytes, 0)]
                raise DiskFullError('no space left')
        file.contents += blob

    def sync(self, name: str) -> None:
        self._count_call()
        self.sync_count += 1
        file = self.files[name]
        if self.fail_syncs:
            file.sync_failed = True
            raise DiskError('input/output error')
        if not file.sync_failed:
            file.durable_contents = file.contents

    def sync_directory(self) -> None:
        self._count_call()
        if self.fail_syncs or self.fail_directory_syncs:
            raise DiskError('input/output error')
        self.durable_names = dict(self.files)

    def rename(self, old: str, new: str) -> None:
        self._count_call()
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        self._count_call()
        self.files.pop(name)

    def size(self) -> int:
        return sum(len(file.contents) for file in self.files.values())

    def crash(self) -> None:
        """Discard unsynced data; part of the last write may survive."""
        self.files = self._surviving_names()
        for file in self.files.values():
            file.contents = self._surviving_bytes(file)
            file.durable_contents = file.contents
            file.sync_failed = False
        self.durable_names = dict(self.files)
        self.clear_faults()

    def clear_faults(self) -> None:
        """Make all following calls succeed."""
        self.fail_syncs = False
        self.fail_directory_syncs = False
        self.capacity = None
        self.calls_until_power_loss = None

    def flip_bit(self, name: str, position: int) -> None:
        """Flip one bit of a byte in the durable contents."""
        file = self.files[name]
        blob = bytearray(file.contents)
        blob[position] ^= 1 << self.rng.randrange(8)
        file.contents = bytes(blob)
        file.durable_contents = file.contents

    def _count_call(self) -> None:
        if self.calls_until_power_loss is None:
            return
        self.calls_until_power_loss -= 1
        if self.calls_until_power_loss < 0:
            raise PowerLossError

    def _surviving_names(self) -> dict[str, FakeFile]:
        # Each name changed since the last sync of the directory independently
        # refers to its old or its new file.
        names = sorted({*self.files, *self.durable_names})
        surviving: dict[str, FakeFile] = {}
        for name in names:
            versions = [self.durable_names.get(name), self.files.get(name)]
            file = self.rng.choice(versions)
            if file is not None:
                surviving[name] = file
        return surviving

    def _surviving_bytes(self, file: FakeFile) -> bytes:
        if not file.contents.startswith(file.durable_contents):
            return file.durable_contents
        unsynced = file.contents[len(file.durable_contents) :]
        kept_bytes = self.rng.randint(0, len(unsynced))
        if self.rng.getrandbits(1):
            return file.durable_contents + unsynced[:kept_bytes]
        # The new file size became durable, but not all of the contents.
        return file.durable_contents + unsynced[:kept_bytes].ljust(
            len(unsynced), b'\0'
        )
