"""A priority index whose updates cost the logarithm of its size."""

from __future__ import annotations

import heapq

_COMPACT_FACTOR = 4
_COMPACT_FLOOR = 64

_Ranked = tuple[float, int, str]


class PriorityIndex:
    """Names ordered by a priority that may change at any time.

    Entries of earlier priorities stay in the heap and are dropped when they
    come up, so that an update needs no search.
    """

    __slots__ = ('_current', '_heap', '_sequence')

    def __init__(self) -> None:
        """Start empty."""
        self._current: dict[str, _Ranked] = {}
        self._heap: list[_Ranked] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Count the names."""
        return len(self._current)

    def __contains__(self, name: str) -> bool:
        """Tell whether the name is in the index."""
        return name in self._current

    def put(self, name: str, priority: float) -> None:
        """Add the name or change its priority; the lowest comes first."""
        self._sequence += 1
        entry = (priority, self._sequence, name)
        self._current[name] = entry
        heapq.heappush(self._heap, entry)
        bound = _COMPACT_FACTOR * len(self._current) + _COMPACT_FLOOR
        if len(self._heap) > bound:
            self._heap = list(self._current.values())
            heapq.heapify(self._heap)

    def discard(self, name: str) -> None:
        """Remove the name if it is there."""
        self._current.pop(name, None)

    def first(self) -> str | None:
        """Give the name with the lowest priority."""
        entry = self.first_entry()
        return None if entry is None else entry[2]

    def first_entry(self) -> _Ranked | None:
        """Give the lowest priority, its age and its name."""
        while self._heap:
            entry = self._heap[0]
            if self._current.get(entry[2]) is entry:
                return entry
            heapq.heappop(self._heap)
        return None
