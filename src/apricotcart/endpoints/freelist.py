"""Endpoints with free slots, with a random sample in constant time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from apricotcart.endpoints.records import Endpoint
    from apricotcart.endpoints.selection import Need

_LaneKey = tuple[str, str, bool]


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


class FreeSlots:
    """Free slots of this host by pool, and the endpoints that have them."""

    __slots__ = ('_lanes', '_by_endpoint', '_by_pool')

    def __init__(self) -> None:
        """Start without any."""
        self._lanes: dict[_LaneKey, FreeList] = {}
        self._by_endpoint: dict[str, int] = {}
        self._by_pool: dict[str, int] = {}

    def update(self, endpoint: Endpoint, free: int) -> None:
        """Apply the number of free slots of an endpoint."""
        pool = endpoint.pool
        change = free - self._by_endpoint.get(endpoint.name, 0)
        self._by_endpoint[endpoint.name] = free
        self._by_pool[pool] = self.count(pool) + change
        for model in endpoint.models or ('',):
            key = (pool, model, endpoint.cheap)
            lane = self._lanes.setdefault(key, FreeList())
            if free:
                lane.add(endpoint.name)
            else:
                lane.discard(endpoint.name)

    def count(self, pool: str) -> int:
        """Give the number of free slots in the pool."""
        return self._by_pool.get(pool, 0)

    def lanes(self, need: Need) -> list[FreeList]:
        """Give the lists of endpoints that can take the request now."""
        lanes = [self._lanes.get((need.pool, need.model, False))]
        if need.cheap_allowed:
            lanes.append(self._lanes.get((need.pool, need.model, True)))
        return [lane for lane in lanes if lane is not None and lane.names]
