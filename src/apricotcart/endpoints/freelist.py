"""A set of names with a random sample in constant time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


class FreeList:
    """Names of endpoints with a free slot."""

    __slots__ = ('names', '_positions')

    def __init__(self) -> None:
        """Start empty."""
        self.names: list[str] = []
        self._positions: dict[str, int] = {}

    def __contains__(self, name: str) -> bool:
        """Tell whether the name is in the list."""
        return name in self._positions

    def add(self, name: str) -> None:
        """Add the name if it is missing."""
        if name not in self._positions:
            self._positions[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: str) -> None:
        """Remove the name if it is there."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self._positions[last] = position

    def sample(self, rng: random.Random, count: int) -> list[str]:
        """Give at most ``count`` different names at random."""
        if len(self.names) <= count:
            return list(self.names)
        return rng.sample(self.names, count)
