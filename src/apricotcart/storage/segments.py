"""The log as a row of segment files."""

from __future__ import annotations

from collections.abc import Sequence

from apricotcart.consensus.api import Entry
from apricotcart.storage.disk import Disk
from apricotcart.storage.failures import DamagedStoreError
from apricotcart.storage.frames import FrameReader, encode_batch

SEGMENT_BYTES = 4194304
_PREFIX = 'log-'
_NAME_DIGITS = 20


class Segments:
    """Appends to the last segment and drops whole segments.

    Attributes
    ----------
    last_index : int
        Index of the last entry.
    """

    def __init__(self, disk: Disk, segment_bytes: int = SEGMENT_BYTES) -> None:
        """Start without entries; `load` reads them."""
        self._disk = disk
        self._segment_bytes = segment_bytes
        self._firsts: list[int] = []
        self._last_size = 0
        self.last_index = 0

    def load(self, snapshot_index: int) -> list[Entry]:
        """Read the entries from the segment that follows the snapshot.

        The last segment is written anew: a torn batch at its end goes away,
        and bytes that an earlier process failed to sync become durable.

        Raises
        ------
        DamagedStoreError
            If entries are damaged or missing.
        """
        self._find(snapshot_index)
        entries: list[Entry] = []
        for first in self._firsts:
            is_last = first == self._firsts[-1]
            found = self._read(first, may_be_torn=is_last)
            _check_order(entries, found, first)
            entries.extend(found)
        if self._firsts:
            self._rewrite_last(entries)
        self.last_index = entries[-1].index if entries else 0
        return entries

    def append(self, entries: Sequence[Entry]) -> None:
        """Append one batch with one sync of its file."""
        if not entries:
            return
        blob = encode_batch(entries)
        is_new = not self._firsts or self._last_size >= self._segment_bytes
        if is_new:
            self._firsts.append(entries[0].index)
            self._last_size = 0
        name = _name(self._firsts[-1])
        self._disk.append(name, blob)
        self._disk.sync(name)
        if is_new:
            self._disk.sync_folder()
        self._last_size += len(blob)
        self.last_index = entries[-1].index

    def truncate(self, from_index: int) -> None:
        """Drop the entries at ``from_index`` and after it.

        The last segment goes first, so that a crash leaves no gap. The one
        that is cut is replaced as a whole, because a batch cut in place
        would be lost by a crash before its rest is written again.
        """
        while self._firsts and self._firsts[-1] >= from_index:
            self._remove(self._firsts.pop())
        self.last_index = from_index - 1
        if self._firsts:
            found = self._read(self._firsts[-1], may_be_torn=False)
            self._rewrite_last(
                [entry for entry in found if entry.index < from_index]
            )

    def drop_before(self, first_kept: int) -> None:
        """Remove the segments whose entries are all before an index."""
        if first_kept > self.last_index:
            self.truncate(0)
            return
        following = self._firsts[1:]
        while following and following[0] <= first_kept:
            self._remove(self._firsts.pop(0))
            following.pop(0)

    def _find(self, snapshot_index: int) -> None:
        firsts = self._stored_firsts()
        # Segments before the snapshot may have gaps after a crash while
        # they were removed, and are not needed.
        start = snapshot_index + 1
        before = [first for first in firsts if first <= start]
        if firsts and not before:
            raise DamagedStoreError(f'entries from {start} on are missing')
        after = [first for first in firsts if first > start]
        self._firsts = before[-1:] + after
        for first in before[:-1]:
            self._remove(first)

    def _stored_firsts(self) -> list[int]:
        return [
            int(name.removeprefix(_PREFIX))
            for name in self._disk.names()
            if name.startswith(_PREFIX)
        ]

    def _read(self, first: int, *, may_be_torn: bool) -> list[Entry]:
        name = _name(first)
        reader = FrameReader(name, self._disk.read(name))
        if reader.is_torn and not may_be_torn:
            raise DamagedStoreError(f'{name} ends within a batch')
        return reader.entries

    def _rewrite_last(self, entries: Sequence[Entry]) -> None:
        first = self._firsts[-1]
        kept = [entry for entry in entries if entry.index >= first]
        if not kept:
            self._remove(self._firsts.pop())
            return
        blob = encode_batch(kept)
        self._disk.replace(_name(first), blob)
        self._last_size = len(blob)

    def _remove(self, first: int) -> None:
        self._disk.remove(_name(first))
        self._disk.sync_folder()


def _name(first_index: int) -> str:
    return _PREFIX + str(first_index).zfill(_NAME_DIGITS)


def _check_order(
    entries: Sequence[Entry],
    found: Sequence[Entry],
    first: int,
) -> None:
    if found and found[0].index != first:
        raise DamagedStoreError(f'segment {first} starts at another entry')
    if entries and entries[-1].index + 1 != first:
        raise DamagedStoreError(f'entries before {first} are missing')
