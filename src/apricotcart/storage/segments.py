"""The log as a sequence of segment files."""

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
    """Appends to the last segment and deletes whole segments.

    Attributes
    ----------
    last_index : int
        Index of the last entry.
    """

    def __init__(self, disk: Disk, segment_bytes: int = SEGMENT_BYTES) -> None:
        """Initialize without reading any entry; see `load`."""
        self._disk = disk
        self._segment_bytes = segment_bytes
        self._first_indexes: list[int] = []
        self._last_segment_bytes = 0
        self.last_index = 0

    def load(self, snapshot_index: int) -> list[Entry]:
        """Return the entries after the snapshot, and possibly some before it.

        The first segment that is read is the last one that starts at or
        before the entry after the snapshot; older segments are deleted. The
        last segment is rewritten, which removes a torn batch at its end and
        makes bytes durable that an earlier process failed to sync.

        Raises
        ------
        DamagedStoreError
            If entries are damaged or missing.
        """
        self._last_segment_bytes = 0
        self._select_segments(snapshot_index)
        entries: list[Entry] = []
        for first in self._first_indexes:
            is_last = first == self._first_indexes[-1]
            found = self._read(first, may_be_torn=is_last)
            _check_contiguous(entries, found, first)
            entries.extend(found)
        if self._first_indexes:
            self._rewrite_last(entries)
        self.last_index = entries[-1].index if entries else 0
        return entries

    def append(self, entries: Sequence[Entry]) -> None:
        """Append one batch with a single sync of its file."""
        if not entries:
            return
        blob = encode_batch(entries)
        is_new = (
            not self._first_indexes
            or self._last_segment_bytes >= self._segment_bytes
        )
        if is_new:
            self._first_indexes.append(entries[0].index)
            self._last_segment_bytes = 0
        name = _segment_name(self._first_indexes[-1])
        self._disk.append(name, blob)
        self._disk.sync(name)
        if is_new:
            self._disk.sync_directory()
        self._last_segment_bytes += len(blob)
        self.last_index = entries[-1].index

    def truncate(self, from_index: int) -> None:
        """Delete the entries from ``from_index`` on.

        Segments are deleted from the last one backwards, so that a crash
        leaves no gap. The segment that contains ``from_index`` is replaced
        atomically: if it were truncated in place, a crash before its remaining
        entries are rewritten would lose them.
        """
        while self._first_indexes and self._first_indexes[-1] >= from_index:
            self._remove(self._first_indexes.pop())
        self.last_index = from_index - 1
        if self._first_indexes:
            found = self._read(self._first_indexes[-1], may_be_torn=False)
            self._rewrite_last(
                [entry for entry in found if entry.index < from_index]
            )

    def drop_before(self, first_kept: int) -> None:
        """Delete the segments whose entries all precede ``first_kept``."""
        if first_kept > self.last_index:
            self.truncate(0)
            return
        following = self._first_indexes[1:]
        while following and following[0] <= first_kept:
            self._remove(self._first_indexes.pop(0))
            following.pop(0)

    def _select_segments(self, snapshot_index: int) -> None:
        first_indexes = self._stored_first_indexes()
        # Segments before the snapshot are not needed. They may have gaps if
        # a crash interrupted their removal.
        start = snapshot_index + 1
        before = [first for first in first_indexes if first <= start]
        if first_indexes and not before:
            raise DamagedStoreError(
                f'log entries from index {start} on are missing'
            )
        after = [first for first in first_indexes if first > start]
        self._first_indexes = before[-1:] + after
        for first in before[:-1]:
            self._remove(first)

    def _stored_first_indexes(self) -> list[int]:
        return [
            int(name.removeprefix(_PREFIX))
            for name in self._disk.file_names()
            if name.startswith(_PREFIX)
        ]

    def _read(self, first: int, *, may_be_torn: bool) -> list[Entry]:
        name = _segment_name(first)
        reader = FrameReader(name, self._disk.read(name))
        if reader.is_torn and not may_be_torn:
            raise DamagedStoreError(f'{name} ends in a torn batch')
        return reader.entries

    def _rewrite_last(self, entries: Sequence[Entry]) -> None:
        first = self._first_indexes[-1]
        remaining = [entry for entry in entries if entry.index >= first]
        if not remaining:
            self._remove(self._first_indexes.pop())
            return
        blob = encode_batch(remaining)
        self._disk.replace(_segment_name(first), blob)
        self._last_segment_bytes = len(blob)

    def _remove(self, first: int) -> None:
        self._disk.remove(_segment_name(first))
        self._disk.sync_directory()


def _segment_name(first_index: int) -> str:
    return _PREFIX + str(first_index).zfill(_NAME_DIGITS)


def _check_contiguous(
    entries: Sequence[Entry],
    found: Sequence[Entry],
    first: int,
) -> None:
    if found and found[0].index != first:
        raise DamagedStoreError(
            f'segment {first} starts with the entry of index {found[0].index}'
        )
    if entries and entries[-1].index + 1 != first:
        raise DamagedStoreError(f'log entries before index {first} are missing')
