"""Baselines with the scheduler's interface."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any

from apricotcart.endpoints.suspects import SuspectTable
from apricotcart.scheduling.decisions import Decision, Demand, Dispatch, Shed

if TYPE_CHECKING:
    from apricotcart.endpoints.records import Endpoint
    from apricotcart.scheduling.records import QueuedRequest, ServiceClass

_Ranked = tuple[int, int, 'QueuedRequest']


class FifoRoundRobin:
    """One queue for each pool, endpoints in turn, no classes."""

    def __init__(self, max_queue: int) -> None:
        """Start empty."""
        self.suspects = SuspectTable()
        self._max_queue = max_queue
        self._queues: dict[str, list[_Ranked]] = {}
        self._endpoints: dict[str, list[Endpoint]] = {}
        self._running: dict[str, str] = {}
        self._tiers: dict[str, int] = {}
        self._turn = itertools.count()
        self._sequence = itertools.count()
        self._dropped: list[str] = []
        self.in_flight: dict[str, int] = {}

    def configure(
        self,
        now: float,
        classes: Iterable[ServiceClass],
        customers: Any,
        endpoints: Iterable[Endpoint],
        max_queues: Any = None,
    ) -> None:
        """Apply the configuration."""
        self._tiers = {entry.name: entry.tier for entry in classes}
        self._endpoints = {}
        for endpoint in endpoints:
            if not endpoint.leaving:
                members = self._endpoints.setdefault(endpoint.pool, [])
                members.append(endpoint)

    def submit(self, now: float, req: QueuedRequest) -> None:
        """Queue a request, or drop it if the queue is full."""
        queue = self._queues.setdefault(req.pool, [])
        if len(queue) >= self._max_queue:
            self._dropped.append(req.request_id)
            return
        rank = self.rank(self._tiers[req.class_name])
        heapq.heappush(queue, (rank, next(self._sequence), req))

    def cancel(self, now: float, request_id: str) -> None:
        """Drop a request."""
        for pool, queue in self._queues.items():
            kept = [item for item in queue if item[2].request_id != request_id]
            heapq.heapify(kept)
            self._queues[pool] = kept
        self.on_finish(now, request_id, '')

    def on_first_byte(self, now: float, request_id: str) -> None:
        """Ignore the event."""

    def on_tokens(self, now: float, request_id: str, count: int) -> None:
        """Ignore the event."""

    def on_load_report(self, now: float, endpoint: str, report: Any) -> None:
        """Ignore the event."""

    def set_share(
        self, now: float, limits: Mapping[str, int], isolation: Any
    ) -> None:
        """Ignore the event."""

    def on_finish(self, now: float, request_id: str, outcome: str) -> None:
        """Free the slot."""
        endpoint = self._running.pop(request_id, None)
        if endpoint is not None:
            self.in_flight[endpoint] -= 1

    def demand(self) -> Demand:
        """Give no demand."""
        return Demand()

    def tick(self, now: float) -> list[Decision]:
        """Send from the queues in order."""
        made: list[Decision] = [
            Shed(request_id=name, reason='queue_full', retry_after_s=1)
            for name in self._dropped
        ]
        self._dropped.clear()
        for pool, queue in self._queues.items():
            while queue:
                endpoint = self._free(pool, queue[0][2])
                if endpoint is None:
                    break
                name = heapq.heappop(queue)[2].request_id
                self._running[name] = endpoint
                busy = self.in_flight.get(endpoint, 0)
                self.in_flight[endpoint] = busy + 1
                made.append(Dispatch(request_id=name, endpoint=endpoint))
        return made

    def rank(self, tier: int) -> int:
        """Give the rank of a tier in the queue."""
        return 0

    def choose(self, free: list[Endpoint]) -> Endpoint:
        """Choose among the endpoints with a free slot."""
        return free[next(self._turn) % len(free)]

    def _free(self, pool: str, req: QueuedRequest) -> str | None:
        free = [
            entry
            for entry in self._endpoints.get(pool, [])
            if self.in_flight.get(entry.name, 0) < entry.slots
        ]
        others = [
            entry for entry in free if entry.name not in req.excluded_endpoints
        ]
        if not free:
            return None
        return self.choose(others or free).name


class LeastInFlight(FifoRoundRobin):
    """Strict tiers, and the endpoint with the least in flight."""

    def rank(self, tier: int) -> int:
        """Order by tier."""
        return tier

    def choose(self, free: list[Endpoint]) -> Endpoint:
        """Choose the endpoint with the least in flight of this host."""
        return min(free, key=self._busy)

    def _busy(self, endpoint: Endpoint) -> int:
        return self.in_flight.get(endpoint.name, 0)
