"""Queues requests by priority and refuses them after a timeout.

In a burst that exceeds the capacity of the endpoints, the most urgent request
is placed first, among equals that of the customer with the fewest tokens
running on all gateways, and of one customer the oldest. A customer that runs
its fair share gives way while others wait at any gateway. A request that cannot
start before its queue timeout is refused with the time after which to retry.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import Counter
from collections.abc import Collection, Iterator
from typing import Final

from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    Requirements,
)
from apricotcart.gateway.dispatching.joined_loads import (
    JoinedLoads,
    LocalLoads,
)
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.dispatching.queued_request import (
    Assigned,
    Decision,
    Group,
    QueuedRequest,
    Refused,
)
from apricotcart.gateway.dispatching.rate_limits import StartEstimate
from apricotcart.scheduling.customer_shares import CustomerShares
from apricotcart.scheduling.queues import LaneKey, PoolQueue, TierQueue

# Bounds of the time after which a refused request may be retried.
_RETRY_AFTER_MIN_S: Final = 0.2
_RETRY_AFTER_MAX_S: Final = 3.0
# Added to that time for each queued request.
_RETRY_AFTER_PER_REQUEST_S: Final = 0.05
# Ratio by which it is extended at random, so that callers that are refused
# together do not return together.
_RETRY_AFTER_SPREAD: Final = 0.5
# Its upper bound while all endpoints name a limit.
_LIMITED_RETRY_AFTER_MAX_S: Final = 10.0

# Service, and the only version that may run a request.
_Allowed = tuple[str, str | None]


class RequestQueue:
    """All queued requests of this host.

    Parameters
    ----------
    placement : Placement
        Chooses endpoints.
    rng : random.Random or None
        Spreads the times of retries; None for the same time for all.

    Attributes
    ----------
    joined_loads : JoinedLoads
        Load of each customer over all gateways.
    """

    __slots__ = (
        '_expiry',
        '_held',
        '_kinds',
        '_loads',
        '_placement',
        '_pools',
        '_queued',
        '_rng',
        'joined_loads',
    )

    def __init__(
        self, placement: Placement, rng: random.Random | None = None
    ) -> None:
        self._rng = rng
        self._placement = placement
        self._queued: dict[str, QueuedRequest] = {}
        self._pools: dict[str, PoolQueue[QueuedRequest]] = {}
        # Queued requests by what decides which endpoints may run them.
        self._kinds: dict[_Allowed, dict[str, QueuedRequest]] = {}
        self._loads = LocalLoads()
        self._expiry: list[tuple[float, str]] = []
        # Customers that gave way to others in the last pass, by service.
        self._held: set[tuple[str, str]] = set()
        self.joined_loads = JoinedLoads()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    def add(self, request: QueuedRequest) -> None:
        """Add a request to the queue."""
        service = request.requirements.service
        pool = self._pools.get(service)
        if pool is None:
            pool = PoolQueue(sys.maxsize, _weight_of)
            self._pools[service] = pool
        pool.add(request, 0)
        self._loads.add_queued(request.requirements)
        kind = self._kinds.setdefault(_allowed_by(request), {})
        kind[request.request_id] = request
        self._queued[request.request_id] = request
        heapq.heappush(self._expiry, (request.refuse_at, request.request_id))

    def remove(self, request_id: str) -> None:
        """Remove a request from the queue if it is there."""
        request = self._queued.pop(request_id, None)
        if request is not None:
            self._pools[request.requirements.service].remove(request)
            self._loads.remove_queued(request.requirements)
            kind = self._kinds[_allowed_by(request)]
            kind.pop(request_id)
            if not kind:
                self._kinds.pop(_allowed_by(request))

    def queued_requirements(self) -> list[Requirements]:
        """Return the requirements of the queued requests."""
        return [request.requirements for request in self._queued.values()]

    def decide(self, now: float) -> Iterator[Decision]:
        """Yield the decisions that can be made now.

        These are the assignments of each service, most urgent first, and then
        all refusals.
        """
        self._held.clear()
        for service, pool in self._pools.items():
            if pool.size:
                yield from self._assign_service(now, service, pool)
        yield from self._refuse(now)

    def _assign_service(
        self, now: float, service: str, pool: PoolQueue[QueuedRequest]
    ) -> Iterator[Assigned]:
        shares = self._shares(now, service)
        blocked: set[Group] = set()
        for _, queue in list(pool.backlogged()):
            yield from self._assign(now, queue, shares, blocked)

    def _assign(
        self,
        now: float,
        queue: TierQueue[QueuedRequest],
        shares: CustomerShares,
        blocked: set[Group],
    ) -> Iterator[Assigned]:
        """Yield assignments of one tier until no lane gets any more."""
        failed: set[LaneKey] = set()
        _order_customers(queue, shares)
        request = _next_request(queue, blocked, failed)
        while request is not None:
            endpoint = self._choose(now, request, shares)
            if endpoint is None:
                failed.add(request.lane_key)
                if request.blocks_group:
                    # A less urgent request must not overtake it.
                    blocked.add(request.group)
            else:
                self._place(request, endpoint)
                _charge(queue, shares, request.requirements)
                yield Assigned(request.request_id, endpoint)
            request = _next_request(queue, blocked, failed)

    def _choose(
        self, now: float, request: QueuedRequest, shares: CustomerShares
    ) -> EndpointState | None:
        requirements = request.requirements
        # Less urgent requests may begin at other gateways, so that only the
        # least urgent ones give way.
        is_lowest = not requirements.level
        if is_lowest and shares.is_exceeded(requirements.customer, 0):
            self._held.add((requirements.service, requirements.customer))
            return None
        return self._placement.choose(now, requirements, request.excluded)

    def _place(self, request: QueuedRequest, endpoint: EndpointState) -> None:
        self._placement.place(
            request.request_id, endpoint, request.requirements
        )
        self.remove(request.request_id)

    def _shares(self, now: float, service: str) -> CustomerShares:
        endpoints = self._placement.table.of_service(service)
        return self.joined_loads.shares(now, service, self._loads, endpoints)

    def _refuse(self, now: float) -> Iterator[Refused]:
        """Yield refusals of requests that cannot start in time.

        Where endpoints ask for a pause or name a limit, those that would wait
        too long for it are refused at once.
        """
        estimates = self._estimates(now)
        for request in self._pop_expired(now):
            yield self._refusal(request, estimates[_allowed_by(request)])
        if any(map(_is_limiting, estimates.values())):
            yield from self._refuse_limited(now, estimates)

    def _pop_expired(self, now: float) -> Iterator[QueuedRequest]:
        while self._expiry and self._expiry[0][0] <= now:
            refuse_at, request_id = heapq.heappop(self._expiry)
            request = self._queued.get(request_id)
            if request is not None and request.refuse_at == refuse_at:
                self.remove(request_id)
                yield request

    def _estimates(self, now: float) -> dict[_Allowed, StartEstimate]:
        return {
            allowed: self._placement.start_estimate(
                next(iter(requests.values())).requirements, now
            )
            for allowed, requests in self._kinds.items()
        }

    def _refuse_limited(
        self, now: float, estimates: dict[_Allowed, StartEstimate]
    ) -> Iterator[Refused]:
        ahead: Counter[str] = Counter()
        for request in sorted(self._queued.values(), key=_rank_of):
            service = request.requirements.service
            estimate = estimates[_allowed_by(request)]
            if now + estimate.wait_s(ahead[service]) < request.refuse_at:
                ahead[service] += 1
                continue
            self.remove(request.request_id)
            yield self._refusal(request, estimate, ahead[service])

    def _refusal(
        self, request: QueuedRequest, estimate: StartEstimate, ahead: int = 0
    ) -> Refused:
        retry_after_s = compute_retry_after_s(len(self) + 1)
        if estimate.rate_per_s is not None:
            retry_after_s = compute_limited_retry_after_s(
                ahead + 1, estimate.rate_per_s
            )
        customer = (request.requirements.service, request.customer)
        return Refused(
            request.request_id,
            max(estimate.pause_s, retry_after_s) * _spread(self._rng),
            is_over_share=customer in self._held,
        )


def _spread(rng: random.Random | None) -> float:
    if rng is None:
        return 1
    return 1 + _RETRY_AFTER_SPREAD * rng.random()


def _weight_of(customer: str) -> float:
    return 1


def _rank_of(request: QueuedRequest) -> tuple[int, float]:
    return request.rank


def _allowed_by(request: QueuedRequest) -> _Allowed:
    return request.requirements.service, request.requirements.software_version


def _is_limiting(estimate: StartEstimate) -> bool:
    return estimate.pause_s > 0 or estimate.rate_per_s is not None


def _next_request(
    queue: TierQueue[QueuedRequest],
    blocked: Collection[Group],
    failed: Collection[LaneKey],
) -> QueuedRequest | None:
    for lane in queue.lanes_in_order():
        request = lane.first()
        if request is None or request.lane_key in failed:
            continue
        if request.group not in blocked:
            return request
    return None


def _order_customers(
    queue: TierQueue[QueuedRequest], shares: CustomerShares
) -> None:
    for customer, requests in queue.customers.items():
        level = next(iter(requests.values())).requirements.level
        queue.update_virtual_time(customer, shares.use(customer, level))


def _charge(
    queue: TierQueue[QueuedRequest],
    shares: CustomerShares,
    requirements: Requirements,
) -> None:
    customer, level = requirements.customer, requirements.level
    shares.add_running(customer, level, requirements.tokens)
    queue.update_virtual_time(customer, shares.use(customer, level))


def compute_retry_after_s(queued: int) -> float:
    """Return when a refused request may be retried, in seconds.

    The time grows with the queue, so that the requests that are already queued
    start first.
    """
    return min(
        _RETRY_AFTER_MIN_S + queued * _RETRY_AFTER_PER_REQUEST_S,
        _RETRY_AFTER_MAX_S,
    )


def compute_limited_retry_after_s(queued: int, rate_per_s: float) -> float:
    """Return when a request refused at limited endpoints may be retried.

    By then, the requests that are queued now have started.

    Parameters
    ----------
    queued : int
        Number of requests that wait before this one, and itself.
    rate_per_s : float
        Requests a second that this host may send.
    """
    return min(queued / rate_per_s, _LIMITED_RETRY_AFTER_MAX_S)
