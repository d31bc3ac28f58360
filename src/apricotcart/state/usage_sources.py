"""Counted usage batches by entry process."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, Final

from apricotcart.state.errors import SequenceGapError
from apricotcart.state.limits import USAGE_RETENTION_MS

#: Maximum distance of a batch from the last one that is counted without a gap.
MAX_BATCHES_AHEAD: Final = 64
#: Maximum number of expired sources that one command removes.
_MAX_EXPIRED_PER_COMMAND: Final = 64

SourceKey = tuple[str, int]


class UsageSource:
    """The counted batches of one process of an entry host.

    Attributes
    ----------
    counted_through : int
        All batches up to this sequence number are counted.
    counted_ahead : set of int
        Sequence numbers of counted batches above it.
    changed_ms : int
        Time of the last batch, in milliseconds.
    """

    __slots__ = ('counted_ahead', 'changed_ms', 'counted_through')

    def __init__(self, counted_through: int) -> None:
        """Initialize with all batches up to ``counted_through`` counted."""
        self.counted_through = counted_through
        self.counted_ahead: set[int] = set()
        self.changed_ms = 0

    def is_counted(self, seq: int) -> bool:
        """Return whether a batch is counted."""
        return seq <= self.counted_through or seq in self.counted_ahead

    def mark_counted(self, seq: int) -> None:
        """Mark a batch as counted."""
        self.counted_ahead.add(seq)
        while self.counted_through + 1 in self.counted_ahead:
            self.counted_through += 1
            self.counted_ahead.remove(self.counted_through)


class UsageSources:
    """Sources of usage batches, ordered by their last batch.

    A source without a batch during the retention time is removed. Its old
    batches are not counted again, since older figures are rejected.
    """

    __slots__ = ('_sources',)

    def __init__(self) -> None:
        self._sources: OrderedDict[SourceKey, UsageSource] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of sources."""
        return len(self._sources)

    def is_counted(self, key: SourceKey, seq: int) -> bool:
        """Return whether a batch is already counted.

        Raises
        ------
        SequenceGapError
            If too many earlier batches are missing.
        """
        source = self._sources.get(key)
        if source is None or source.is_counted(seq):
            return source is not None
        if seq > source.counted_through + MAX_BATCHES_AHEAD:
            missing_seq = source.counted_through + 1
            raise SequenceGapError(f'usage batch {missing_seq} is missing')
        return False

    def mark_counted(self, key: SourceKey, seq: int, now_ms: int) -> None:
        """Mark a batch as counted."""
        source = self._sources.get(key)
        if source is None:
            # A process that sent nothing during the retention time continues
            # its numbering. It sends in order, so earlier batches have been
            # counted.
            first_seq = seq if seq > MAX_BATCHES_AHEAD else 1
            source = UsageSource(first_seq - 1)
            self._sources[key] = source
        source.mark_counted(seq)
        source.changed_ms = now_ms
        self._sources.move_to_end(key)

    def remove_expired(self, now_ms: int) -> None:
        """Remove a bounded number of expired sources."""
        for _ in range(_MAX_EXPIRED_PER_COMMAND):
            key = next(iter(self._sources), None)
            if key is None:
                return
            if now_ms - self._sources[key].changed_ms < USAGE_RETENTION_MS:
                return
            self._sources.pop(key)

    def to_wire(self) -> list[Any]:
        """Return the snapshot form of the sources."""
        return [
            [
                *key,
                source.counted_through,
                sorted(source.counted_ahead),
                source.changed_ms,
            ]
            for key, source in self._sources.items()
        ]

    def load(self, wire: list[Any]) -> None:
        """Load the output of ``to_wire`` into an empty object."""
        for host, incarnation, counted_through, ahead, changed_ms in wire:
            source = UsageSource(counted_through)
            source.counted_ahead.update(ahead)
            source.changed_ms = changed_ms
            self._sources[host, incarnation] = source
