"""Disk in memory that can lose, tear and damage writes."""

from __future__ import annotations

import random

from apricotcart.storage.disk import Disk
from apricotcart.storage.failures import DiskError, DiskFullError


class FakeFile:
    """Contents as the process sees them, and the durable ones."""

    def __init__(self) -> None:
        self.seen = b''
        self.durable = b''
        self.sync_failed = False


class PowerLossError(Exception):
    """The host lost its power during a call."""


class FakeDisk(Disk):
    """Keeps what was synced across `crash`.

    A file whose sync failed once never becomes durable any more, although a
    later sync reports success, as the page cache of Linux behaves.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random(0)
        self.files: dict[str, FakeFile] = {}
        self.durable_names: dict[str, FakeFile] = {}
        self.fail_syncs = False
        self.fail_folder_syncs = False
        self.capacity: int | None = None
        self.syncs = 0
        self.calls_left: int | None = None

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return self.files[name].seen

    def append(self, name: str, blob: bytes) -> None:
        self._count_call()
        held = self.files.setdefault(name, FakeFile())
        if self.capacity is not None:
            room = self.capacity - self.size()
            if room < len(blob):
                held.seen += blob[: max(room, 0)]
                raise DiskFullError('no space left')
        held.seen += blob

    def sync(self, name: str) -> None:
        self._count_call()
        self.syncs += 1
        held = self.files[name]
        if self.fail_syncs:
            held.sync_failed = True
            raise DiskError('input/output error')
        if not held.sync_failed:
            held.durable = held.seen

    def sync_folder(self) -> None:
        self._count_call()
        if self.fail_syncs or self.fail_folder_syncs:
            raise DiskError('input/output error')
        self.durable_names = dict(self.files)

    def rename(self, old: str, new: str) -> None:
        self._count_call()
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        self._count_call()
        self.files.pop(name)

    def size(self) -> int:
        return sum(len(held.seen) for held in self.files.values())

    def crash(self) -> None:
        """Lose what was not synced; part of the last write may stay."""
        self.files = self._surviving_names()
        for held in self.files.values():
            held.seen = self._surviving_bytes(held)
            held.durable = held.seen
            held.sync_failed = False
        self.durable_names = dict(self.files)
        self.clear_faults()

    def clear_faults(self) -> None:
        """Let the next calls succeed."""
        self.fail_syncs = False
        self.fail_folder_syncs = False
        self.capacity = None
        self.calls_left = None

    def flip_bit(self, name: str, position: int) -> None:
        """Damage one durable byte."""
        held = self.files[name]
        blob = bytearray(held.seen)
        blob[position] ^= 1 << self.rng.randrange(8)
        held.seen = bytes(blob)
        held.durable = held.seen

    def _count_call(self) -> None:
        if self.calls_left is None:
            return
        self.calls_left -= 1
        if self.calls_left < 0:
            raise PowerLossError

    def _surviving_names(self) -> dict[str, FakeFile]:
        # Each name changed since the last sync of the folder independently
        # keeps its old or takes its new file.
        names = sorted({*self.files, *self.durable_names})
        surviving: dict[str, FakeFile] = {}
        for name in names:
            versions = [self.durable_names.get(name), self.files.get(name)]
            held = self.rng.choice(versions)
            if held is not None:
                surviving[name] = held
        return surviving

    def _surviving_bytes(self, held: FakeFile) -> bytes:
        if not held.seen.startswith(held.durable):
            return held.durable
        unsynced = held.seen[len(held.durable) :]
        kept = self.rng.randint(0, len(unsynced))
        if self.rng.getrandbits(1):
            return held.durable + unsynced[:kept]
        # The size was written but not all of the contents.
        return held.durable + unsynced[:kept].ljust(len(unsynced), b'\0')
