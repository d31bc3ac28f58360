"""Queues requests by priority and refuses them after a timeout.

In a burst that exceeds the capacity of the endpoints, the most urgent and among
equals the oldest request is placed first. A request that cannot start before
its queue timeout is refused with the time after which to retry.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Final

from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    Requirements,
)
from apricotcart.gateway.dispatching.placement import Placement

# Queue timeout as a ratio of the target time to first byte; a longer wait
# leaves no time for the prefill.
_QUEUE_TIMEOUT_RATIO: Final = 0.5
# Upper bound of the queue timeout.
_QUEUE_TIMEOUT_MAX_S: Final = 2.0
# Upper bound for the least urgent requests, whose responses are still useful
# when they are late.
_LOW_PRIORITY_QUEUE_TIMEOUT_S: Final = 4.0
# Bounds of the time after which a refused request may be retried.
_RETRY_AFTER_MIN_S: Final = 0.2
_RETRY_AFTER_MAX_S: Final = 3.0
# Added to that time for each queued request.
_RETRY_AFTER_PER_REQUEST_S: Final = 0.05
# Its upper bound while all endpoints name a limit.
_LIMITED_RETRY_AFTER_MAX_S: Final = 10.0

# Service, whether it has the lowest latency target, and whether it is short.
_Group = tuple[str, bool, bool]


class QueuedRequest:
    """A request that waits for an endpoint.

    Attributes
    ----------
    rank : tuple
        Order in the queue, lowest first.
    refuse_at : float
        When the queue timeout expires, in seconds.
    excluded : set of str
        Ids of endpoints that it must not be sent to.
    """

    __slots__ = ('excluded', 'requirements', 'rank', 'refuse_at', 'request_id')

    def __init__(
        self,
        *,
        request_id: str,
        requirements: Requirements,
        rank: tuple[int, float],
        refuse_at: float,
        excluded: set[str],
    ) -> None:
        self.request_id = request_id
        self.requirements = requirements
        self.rank = rank
        self.refuse_at = refuse_at
        self.excluded = excluded


class Assigned:
    """Decision that assigns an endpoint to a request."""

    __slots__ = ('request_id', 'endpoint')

    def __init__(self, request_id: str, endpoint: EndpointState) -> None:
        self.request_id = request_id
        self.endpoint = endpoint


class Refused:
    """Decision that refuses a request for now."""

    __slots__ = ('request_id', 'retry_after_s')

    def __init__(self, request_id: str, retry_after_s: float) -> None:
        self.request_id = request_id
        self.retry_after_s = retry_after_s


Decision = Assigned | Refused


class RequestQueue:
    """All queued requests of this host.

    Parameters
    ----------
    placement : Placement
        Chooses endpoints.
    """

    __slots__ = ('_placement', '_queued')

    def __init__(self, placement: Placement) -> None:
        self._placement = placement
        self._queued: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    def add(self, request: QueuedRequest) -> None:
        """Add a request to the queue."""
        self._queued[request.request_id] = request

    def remove(self, request_id: str) -> None:
        """Remove a request from the queue if it is there."""
        self._queued.pop(request_id, None)

    def waits_for(self, service: str) -> bool:
        """Return whether a request for a service is queued."""
        return any(
            request.requirements.service == service
            for request in self._queued.values()
        )

    def queued_requirements(self) -> list[Requirements]:
        """Return the requirements of the queued requests."""
        return [request.requirements for request in self._queued.values()]

    def decide(self, now: float) -> Iterator[Decision]:
        """Yield the decisions that can be made now, most urgent first."""
        queue = sorted(self._queued.values(), key=lambda queued: queued.rank)
        blocked: set[_Group] = set()
        waiting: Counter[str] = Counter()
        for request in queue:
            decision: Decision | None = self._assignment(now, request, blocked)
            service = request.requirements.service
            if decision is None:
                decision = self._refusal(now, request, waiting[service])
            if decision is None:
                waiting[service] += 1
                continue
            self.remove(request.request_id)
            yield decision

    def _assignment(
        self,
        now: float,
        request: QueuedRequest,
        blocked: set[_Group],
    ) -> Assigned | None:
        # Streams with the lowest latency target have dedicated engines, and
        # short requests must not wait for the capacity a long one needs.
        requirements = request.requirements
        group = (
            requirements.service,
            requirements.is_latency_critical,
            requirements.is_short,
        )
        endpoint = None
        # A less urgent request must not overtake one without an endpoint.
        if group not in blocked:
            endpoint = self._placement.choose(
                now, requirements, request.excluded
            )
        if endpoint is not None:
            self._placement.place(request.request_id, endpoint, requirements)
            return Assigned(request.request_id, endpoint)
        # One that few endpoints may run says nothing about the others.
        if not request.excluded and requirements.software_version is None:
            blocked.add(group)
        return None

    def _refusal(
        self, now: float, request: QueuedRequest, ahead: int
    ) -> Refused | None:
        """Refuse a request that cannot start before its queue timeout.

        Parameters
        ----------
        now : float
            Time in seconds.
        request : QueuedRequest
            A request that no endpoint was assigned to.
        ahead : int
            Requests for the same service that wait before it.
        """
        estimate = self._placement.start_estimate(request.requirements, now)
        if now + estimate.wait_s(ahead) < request.refuse_at:
            return None
        retry_after_s = compute_retry_after_s(len(self))
        if estimate.rate_per_s is not None:
            retry_after_s = compute_limited_retry_after_s(
                ahead + 1, estimate.rate_per_s
            )
        return Refused(request.request_id, max(estimate.pause_s, retry_after_s))


def queue_timeout_s(
    target_s: float, remaining_s: float, level: int = 1
) -> float:
    """Return how long a request may be queued, in seconds.

    Parameters
    ----------
    target_s : float
        Target time to first byte in seconds.
    remaining_s : float
        Time to the deadline in seconds.
    level : int
        Number of less urgent levels.
    """
    if not level:
        return min(remaining_s / 3, _LOW_PRIORITY_QUEUE_TIMEOUT_S)
    return min(
        target_s * _QUEUE_TIMEOUT_RATIO, remaining_s / 3, _QUEUE_TIMEOUT_MAX_S
    )


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
