"""A priority index with updates in logarithmic time."""

from __future__ import annotations

import heapq

_COMPACT_FACTOR = 4
_COMPACT_MIN_SIZE = 64

_Ranked = tuple[float, int, str]


class PriorityIndex:
    """Names ordered by a priority that may change at any time.

    Outdated entries stay in the heap and are dropped when they reach its
    top, so that an update needs no search. The heap is rebuilt when it has
    many more entries than there are names.
    """

    __slots__ = ('_current', '_heap', '_sequence')

    def __init__(self) -> None:
        self._current: dict[str, _Ranked] = {}
        self._heap: list[_Ranked] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self._current)

    def __contains__(self, name: str) -> bool:
        """Return whether the name is in the index."""
        return name in self._current

    def set_priority(self, name: str, priority: float) -> None:
        """Add the name or change its priority; the lowest value comes first."""
        self._sequence += 1
        entry = (priority, self._sequence, name)
        self._current[name] = entry
        heapq.heappush(self._heap, entry)
        bound = _COMPACT_FACTOR * len(self._current) + _COMPACT_MIN_SIZE
        if len(self._heap) > bound:
            self._heap = list(self._current.values())
            heapq.heapify(self._heap)

    def discard(self, name: str) -> None:
        """Remove the name if it is in the index."""
        self._current.pop(name, None)

    def first(self) -> str | None:
        """Return the name with the lowest priority value, or None."""
        entry = self.first_entry()
        return None if entry is None else entry[2]

    def first_entry(self) -> _Ranked | None:
        """Return the first entry: priority, sequence number and name."""
        while self._heap:
            entry = self._heap[0]
            if self._current.get(entry[2]) is entry:
                return entry
            heapq.heappop(self._heap)
        return None
