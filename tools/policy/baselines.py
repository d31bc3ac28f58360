"""Baseline policies with the interface of the scheduler."""

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
    """One FIFO queue per pool, round-robin dispatch, no service classes."""

    def __init__(self, max_queue: int) -> None:
        self.suspects = SuspectTable()
        self._max_queue = max_queue
        self._queues: dict[str, list[_Ranked]] = {}
        self._endpoints: dict[str, list[Endpoint]] = {}
        self._running: dict[str, str] = {}
        self._tiers: dict[str, int] = {}
        self._round_robin = itertools.count()
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
        """Queue a request, or shed it if the queue is full."""
        queue = self._queues.setdefault(req.pool, [])
        if len(queue) >= self._max_queue:
            self._dropped.append(req.request_id)
            return
        rank = self.queue_rank(self._tiers[req.class_name])
        heapq.heappush(queue, (rank, next(self._sequence), req))

    def cancel(self, now: float, request_id: str) -> None:
        """Remove a queued or running request."""
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

    def set_slot_limits(
        self, now: float, limits: Mapping[str, int], isolation: Any
    ) -> None:
        """Ignore the event."""

    def on_finish(self, now: float, request_id: str, outcome: str) -> None:
        """Free the slot of a request that ended."""
        endpoint = self._running.pop(request_id, None)
        if endpoint is not None:
            self.in_flight[endpoint] -= 1

    def demand(self) -> Demand:
        """Return an empty demand."""
        return Demand()

    def tick(self, now: float) -> list[Decision]:
        """Shed the dropped requests and dispatch while slots are free."""
        decisions: list[Decision] = [
            Shed(request_id=name, reason='queue_full', retry_after_s=1)
            for name in self._dropped
        ]
        self._dropped.clear()
        for pool, queue in self._queues.items():
            while queue:
                endpoint = self._find_free_endpoint(pool, queue[0][2])
                if endpoint is None:
                    break
                name = heapq.heappop(queue)[2].request_id
                self._running[name] = endpoint
                busy = self.in_flight.get(endpoint, 0)
                self.in_flight[endpoint] = busy + 1
                decisions.append(Dispatch(request_id=name, endpoint=endpoint))
        return decisions

    def queue_rank(self, tier: int) -> int:
        """Return the sort key of a tier in the queue; the same for all."""
        return 0

    def choose_endpoint(self, free: list[Endpoint]) -> Endpoint:
        """Choose the next endpoint with a free slot in round-robin order."""
        return free[next(self._round_robin) % len(free)]

    def _find_free_endpoint(self, pool: str, req: QueuedRequest) -> str | None:
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
        return self.choose_endpoint(others or free).name


class LeastInFlight(FifoRoundRobin):
    """Strict tier order; dispatches to the endpoint with least in flight."""

    def queue_rank(self, tier: int) -> int:
        """Return the tier: lower tiers are dispatched first."""
        return tier

    def choose_endpoint(self, free: list[Endpoint]) -> Endpoint:
        """Choose the endpoint with the fewest requests of this host."""
        return min(free, key=self._in_flight_on)

    def _in_flight_on(self, endpoint: Endpoint) -> int:
        return self.in_flight.get(endpoint.name, 0)
