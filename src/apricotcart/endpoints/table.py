"""The endpoint table of one host and the systems over it."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from apricotcart.endpoints.freelist import FreeList, FreeSlots
from apricotcart.endpoints.rows import EndpointRow
from apricotcart.endpoints.selection import SAMPLE, Need, Scorer

if TYPE_CHECKING:
    import random

    from apricotcart.endpoints.records import Endpoint


class EndpointTable:
    """Endpoints with their load, limits and free slots.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    rng : random.Random
        Seeded source of samples, noise and jitter.
    """

    __slots__ = (
        'rows',
        'isolation',
        '_free',
        '_reopen',
        '_scorer',
        '_rng',
    )

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Start without endpoints."""
        self.rows: dict[str, EndpointRow] = {}
        # Endpoints that no other host uses for suspects.
        self.isolation: frozenset[str] = frozenset()
        self._free = FreeSlots()
        self._reopen: list[tuple[float, str]] = []
        self._scorer = Scorer(zone, rng)
        self._rng = rng

    def configure(self, now: float, endpoints: Iterable[Endpoint]) -> None:
        """Apply the configured endpoints; known ones keep their state."""
        rows: dict[str, EndpointRow] = {}
        for endpoint in endpoints:
            row = self.rows.get(endpoint.name)
            if row is None:
                row = EndpointRow(endpoint, self._rng)
            row.endpoint = endpoint
            rows[endpoint.name] = row
        self.rows = rows
        self._free = FreeSlots()
        for row in rows.values():
            self._refresh(now, row)

    def set_share(self, now: float, limits: Mapping[str, int]) -> None:
        """Apply this host's slots; an endpoint not named gets none."""
        for name, row in self.rows.items():
            share = limits.get(name, 0)
            if row.share != share:
                row.share = share
                self._refresh(now, row)

    def tick(self, now: float) -> bool:
        """Reopen endpoints whose closed time is over; tell if any was."""
        reopened = False
        while self._reopen and self._reopen[0][0] <= now:
            _, name = heapq.heappop(self._reopen)
            row = self.rows.get(name)
            if row is not None:
                self._refresh(now, row)
                reopened = True
        return reopened

    def free_slots(self, pool: str) -> int:
        """Give the number of free slots of this host in the pool."""
        return self._free.count(pool)

    def choose(self, now: float, need: Need) -> str | None:
        """Give the endpoint for the request, None if it must wait."""
        names = self._candidates(need)
        if not names:
            return None
        rows = [self.rows[name] for name in names]
        best_pace_s = min((row.pace_s for row in rows if row.pace_s), default=0)
        costs = {
            row.endpoint.name: self._scorer.cost(now, row, need, best_pace_s)
            for row in rows
        }
        return min(costs, key=costs.__getitem__)

    def acquire(self, now: float, name: str, *, suspect: bool) -> None:
        """Count a request that is sent now."""
        row = self.rows[name]
        row.in_flight += 1
        row.suspects += suspect
        self._refresh(now, row)

    def release(
        self, now: float, name: str, outcome: str, *, suspect: bool
    ) -> None:
        """Count a request that ended, and learn from its outcome."""
        row = self.rows.get(name)
        if row is None:
            return
        row.in_flight = max(0, row.in_flight - 1)
        row.suspects = max(0, row.suspects - suspect)
        row.on_outcome(now, outcome)
        if row.limit.closed_until > now:
            heapq.heappush(self._reopen, (row.limit.closed_until, name))
        self._refresh(now, row)

    def running(self) -> dict[str, int]:
        """Give the requests in flight by endpoint."""
        return {
            name: row.in_flight
            for name, row in self.rows.items()
            if row.in_flight
        }

    def _refresh(self, now: float, row: EndpointRow) -> None:
        self._free.update(row.endpoint, row.free_slots(now))

    def _candidates(self, need: Need) -> list[str]:
        lanes = self._free.lanes(need)
        if need.excluded or need.isolated:
            return self._constrained(need, lanes)
        names: list[str] = []
        for lane in lanes:
            names.extend(lane.sample(self._rng, SAMPLE))
            names.extend(name for name in need.holders if name in lane)
        return names

    def _constrained(self, need: Need, lanes: list[FreeList]) -> list[str]:
        names = [name for lane in lanes for name in lane.names]
        if need.isolated:
            names = self._isolated(need, names)
        others = [name for name in names if name not in need.excluded]
        if others or self._has_alternative(need):
            return others
        return names

    def _isolated(self, need: Need, names: list[str]) -> list[str]:
        # Two suspects never share an endpoint, so that a second crash
        # shows which of them is the cause.
        names = [name for name in names if not self.rows[name].suspects]
        own = [
            name
            for name in self.isolation
            if name not in need.excluded
            and name in self.rows
            and self.rows[name].may_serve(need)
        ]
        if own:
            return [name for name in names if name in own]
        return names

    def _has_alternative(self, need: Need) -> bool:
        """Tell whether an endpoint that is not excluded may become free."""
        return any(
            row.may_serve(need)
            for name, row in self.rows.items()
            if name not in need.excluded
        )
