"""Endpoint table of one host."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from apricotcart.endpoints.endpoint_state import EndpointState
from apricotcart.endpoints.freelist import FreeList, FreeSlots
from apricotcart.endpoints.selection import SAMPLE_SIZE, Requirements, Scorer

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
        Seeded random source of samples, noise and jitter.
    """

    __slots__ = (
        'states',
        'isolation_endpoints',
        '_free',
        '_reopen_queue',
        '_scorer',
        '_rng',
    )

    def __init__(self, zone: str, rng: random.Random) -> None:
        self.states: dict[str, EndpointState] = {}
        # Endpoints where only this host runs suspects.
        self.isolation_endpoints: frozenset[str] = frozenset()
        self._free = FreeSlots()
        self._reopen_queue: list[tuple[float, str]] = []
        self._scorer = Scorer(zone, rng)
        self._rng = rng

    def configure(self, now: float, endpoints: Iterable[Endpoint]) -> None:
        """Set the configured endpoints; known ones keep their state."""
        states: dict[str, EndpointState] = {}
        for endpoint in endpoints:
            state = self.states.get(endpoint.name)
            if state is None:
                state = EndpointState(endpoint, self._rng)
            state.endpoint = endpoint
            states[endpoint.name] = state
        self.states = states
        self._free = FreeSlots()
        for state in states.values():
            self._refresh(now, state)

    def set_slot_limits(self, now: float, limits: Mapping[str, int]) -> None:
        """Set this host's slots by endpoint; a missing endpoint gets none."""
        for name, state in self.states.items():
            slot_limit = limits.get(name, 0)
            if state.slot_limit != slot_limit:
                state.slot_limit = slot_limit
                self._refresh(now, state)

    def tick(self, now: float) -> bool:
        """Reopen endpoints after their closed time; return whether any was."""
        reopened = False
        while self._reopen_queue and self._reopen_queue[0][0] <= now:
            _, name = heapq.heappop(self._reopen_queue)
            state = self.states.get(name)
            if state is not None:
                self._refresh(now, state)
                reopened = True
        return reopened

    def free_slots(self, pool: str) -> int:
        """Return the number of free slots of this host in the pool."""
        return self._free.count(pool)

    def choose(self, now: float, requirements: Requirements) -> str | None:
        """Return the endpoint for the request, None if it must wait."""
        names = self._candidates(requirements)
        if not names:
            return None
        states = [self.states[name] for name in names]
        best_latency_s = min(
            (
                state.inter_token_latency_s
                for state in states
                if state.inter_token_latency_s
            ),
            default=0,
        )
        costs = {
            state.endpoint.name: self._scorer.cost(
                now, state, requirements, best_latency_s
            )
            for state in states
        }
        return min(costs, key=costs.__getitem__)

    def acquire(self, now: float, name: str, *, suspect: bool) -> None:
        """Record the start of a request."""
        state = self.states[name]
        state.in_flight += 1
        state.running_suspects += suspect
        self._refresh(now, state)

    def release(
        self, now: float, name: str, outcome: str, *, suspect: bool
    ) -> None:
        """Record the end of a request and adapt to its outcome."""
        state = self.states.get(name)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        state.running_suspects = max(0, state.running_suspects - suspect)
        state.on_outcome(now, outcome)
        if state.limit.closed_until > now:
            heapq.heappush(self._reopen_queue, (state.limit.closed_until, name))
        self._refresh(now, state)

    def running(self) -> dict[str, int]:
        """Return the number of requests in flight by endpoint."""
        return {
            name: state.in_flight
            for name, state in self.states.items()
            if state.in_flight
        }

    def _refresh(self, now: float, state: EndpointState) -> None:
        self._free.update(state.endpoint, state.free_slots(now))

    def _candidates(self, requirements: Requirements) -> list[str]:
        free_lists = self._free.free_lists(requirements)
        if requirements.excluded or requirements.isolated:
            return self._constrained_candidates(requirements, free_lists)
        names: list[str] = []
        for free_list in free_lists:
            names.extend(free_list.sample(self._rng, SAMPLE_SIZE))
            names.extend(
                name for name in requirements.holders if name in free_list
            )
        return names

    def _constrained_candidates(
        self, requirements: Requirements, free_lists: list[FreeList]
    ) -> list[str]:
        names = [name for free_list in free_lists for name in free_list.names]
        if requirements.isolated:
            names = self._isolated_candidates(requirements, names)
        others = [name for name in names if name not in requirements.excluded]
        if others or self._has_alternative(requirements):
            return others
        return names

    def _isolated_candidates(
        self, requirements: Requirements, names: list[str]
    ) -> list[str]:
        # Suspects do not share an endpoint, so that the next crash identifies
        # the one that causes it.
        names = [
            name for name in names if not self.states[name].running_suspects
        ]
        isolation_names = [
            name
            for name in self.isolation_endpoints
            if name not in requirements.excluded
            and name in self.states
            and self.states[name].may_serve(requirements)
        ]
        if isolation_names:
            return [name for name in names if name in isolation_names]
        return names

    def _has_alternative(self, requirements: Requirements) -> bool:
        """Return whether an endpoint that is not excluded may become free."""
        return any(
            state.may_serve(requirements)
            for name, state in self.states.items()
            if name not in requirements.excluded
        )
