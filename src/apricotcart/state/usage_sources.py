"""Which batches of which host are already counted."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, Final

from apricotcart.state.errors import SequenceGapError
from apricotcart.state.limits import USAGE_RETENTION_MS

#: How far a batch may be ahead of the first missing one.
MAX_BATCHES_AHEAD: Final = 64
#: Bound on the sources that one command removes.
_MAX_EXPIRED_PER_COMMAND: Final = 64

SourceKey = tuple[str, int]


class UsageSource:
    """The batches seen of one process of an entry host.

    Attributes
    ----------
    seen_through : int
        All batches up to this sequence number are counted.
    ahead : set of int
        Counted batches above it.
    changed_ms : int
        Time of the last batch.
    """

    __slots__ = ('ahead', 'changed_ms', 'seen_through')

    def __init__(self, seen_through: int) -> None:
        """Start with all earlier batches seen."""
        self.seen_through = seen_through
        self.ahead: set[int] = set()
        self.changed_ms = 0

    def has(self, seq: int) -> bool:
        """Say whether a batch is counted."""
        return seq <= self.seen_through or seq in self.ahead

    def add(self, seq: int) -> None:
        """Mark a batch as counted."""
        self.ahead.add(seq)
        while self.seen_through + 1 in self.ahead:
            self.seen_through += 1
            self.ahead.remove(self.seen_through)


class UsageSources:
    """Sources in order of their last batch.

    A source without a batch for the retention is forgotten. Its old batches
    are not counted again, since figures older than that are refused.
    """

    __slots__ = ('_sources',)

    def __init__(self) -> None:
        """Start empty."""
        self._sources: OrderedDict[SourceKey, UsageSource] = OrderedDict()

    def __len__(self) -> int:
        """Count the sources."""
        return len(self._sources)

    def is_counted(self, key: SourceKey, seq: int) -> bool:
        """Say whether a batch is already counted.

        Raises
        ------
        SequenceGapError
            If too many earlier batches are missing.
        """
        source = self._sources.get(key)
        if source is None or source.has(seq):
            return source is not None
        if seq > source.seen_through + MAX_BATCHES_AHEAD:
            missing = source.seen_through + 1
            raise SequenceGapError(f'batch {missing} is missing')
        return False

    def count(self, key: SourceKey, seq: int, now_ms: int) -> None:
        """Mark a batch as counted."""
        source = self._sources.get(key)
        if source is None:
            # A process that was silent for the retention goes on from its
            # last number; it sends in order, so the earlier ones are done.
            first = seq if seq > MAX_BATCHES_AHEAD else 1
            source = UsageSource(first - 1)
            self._sources[key] = source
        source.add(seq)
        source.changed_ms = now_ms
        self._sources.move_to_end(key)

    def expire(self, now_ms: int) -> None:
        """Forget silent sources, a bounded number."""
        for _ in range(_MAX_EXPIRED_PER_COMMAND):
            key = next(iter(self._sources), None)
            if key is None:
                return
            if now_ms - self._sources[key].changed_ms < USAGE_RETENTION_MS:
                return
            self._sources.pop(key)

    def to_wire(self) -> list[Any]:
        """Give the sources as lists."""
        return [
            [*key, source.seen_through, sorted(source.ahead), source.changed_ms]
            for key, source in self._sources.items()
        ]

    def load(self, wire: list[Any]) -> None:
        """Fill an empty table from ``to_wire``."""
        for host, incarnation, seen_through, ahead, changed_ms in wire:
            source = UsageSource(seen_through)
            source.ahead.update(ahead)
            source.changed_ms = changed_ms
            self._sources[host, incarnation] = source
