"""Endpoints with free slots, with random sampling in constant time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from apricotcart.endpoints.records import Endpoint
    from apricotcart.endpoints.selection import Requirements

_ListKey = tuple[str, str, bool]


class FreeList:
    """Names of endpoints that have a free slot."""

    __slots__ = ('names', '_positions')

    def __init__(self) -> None:
        self.names: list[str] = []
        self._positions: dict[str, int] = {}

    def __contains__(self, name: str) -> bool:
        """Return whether the name is in the list."""
        return name in self._positions

    def add(self, name: str) -> None:
        """Add the name unless it is in the list."""
        if name not in self._positions:
            self._positions[name] = len(self.names)
            self.names.append(name)

    def discard(self, name: str) -> None:
        """Remove the name if it is in the list."""
        position = self._positions.pop(name, None)
        if position is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self._positions[last] = position

    def sample(self, rng: random.Random, count: int) -> list[str]:
        """Return a random sample of at most ``count`` distinct names."""
        if len(self.names) <= count:
            return list(self.names)
        return rng.sample(self.names, count)


class FreeSlots:
    """Number of free slots by pool, and the endpoints that have them."""

    __slots__ = ('_free_lists', '_by_endpoint', '_by_pool')

    def __init__(self) -> None:
        self._free_lists: dict[_ListKey, FreeList] = {}
        self._by_endpoint: dict[str, int] = {}
        self._by_pool: dict[str, int] = {}

    def update(self, endpoint: Endpoint, free: int) -> None:
        """Set the number of free slots of an endpoint."""
        pool = endpoint.pool
        change = free - self._by_endpoint.get(endpoint.name, 0)
        self._by_endpoint[endpoint.name] = free
        self._by_pool[pool] = self.count(pool) + change
        for model in endpoint.models or ('',):
            key = (pool, model, endpoint.cheap)
            free_list = self._free_lists.setdefault(key, FreeList())
            if free:
                free_list.add(endpoint.name)
            else:
                free_list.discard(endpoint.name)

    def count(self, pool: str) -> int:
        """Return the number of free slots in the pool."""
        return self._by_pool.get(pool, 0)

    def free_lists(self, requirements: Requirements) -> list[FreeList]:
        """Return the lists of endpoints that can accept the request now."""
        free_lists = [
            self._free_lists.get((requirements.pool, requirements.model, False))
        ]
        if requirements.cheap_allowed:
            free_lists.append(
                self._free_lists.get(
                    (requirements.pool, requirements.model, True)
                )
            )
        return [
            free_list
            for free_list in free_lists
            if free_list is not None and free_list.names
        ]
