"""Queued requests, and the decisions about them."""

from __future__ import annotations

from typing import Final

from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    Requirements,
)
from apricotcart.scheduling.queues import LaneKey

# Queue timeout as a ratio of the target time to first byte; a longer wait
# leaves no time for the prefill.
_QUEUE_TIMEOUT_RATIO: Final = 0.5
# Upper bound of the queue timeout.
_QUEUE_TIMEOUT_MAX_S: Final = 2.0
# Upper bound for the least urgent requests, whose responses are still useful
# when they are late.
_LOW_PRIORITY_QUEUE_TIMEOUT_S: Final = 4.0
# Service, whether it has the lowest latency target, and whether it is short.
Group = tuple[str, bool, bool]


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

    __slots__ = (
        'excluded',
        'lane_key',
        'rank',
        'refuse_at',
        'request_id',
        'requirements',
    )

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
        self.lane_key: LaneKey = (
            False,
            (self.group, frozenset(excluded), requirements.software_version),
        )

    @property
    def customer(self) -> str:
        """Customer that asks for it."""
        return self.requirements.customer

    @property
    def tier(self) -> int:
        """Number of more urgent levels."""
        return self.rank[0]

    @property
    def order(self) -> float:
        """When it arrived, in seconds."""
        return self.rank[1]

    @property
    def group(self) -> Group:
        """Requests that wait for the same capacity.

        Streams with the lowest latency target have dedicated engines, and
        short requests must not wait for the capacity a long one needs.
        """
        requirements = self.requirements
        return (
            requirements.service,
            requirements.is_latency_critical,
            requirements.is_short,
        )

    @property
    def blocks_group(self) -> bool:
        """Whether others wait too if no endpoint takes it.

        One that few endpoints may run says nothing about the others.
        """
        return not self.excluded and self.requirements.software_version is None


class Assigned:
    """Decision that assigns an endpoint to a request."""

    __slots__ = ('request_id', 'endpoint')

    def __init__(self, request_id: str, endpoint: EndpointState) -> None:
        self.request_id = request_id
        self.endpoint = endpoint


class Refused:
    """Decision that refuses a request for now.

    Attributes
    ----------
    is_over_share : bool
        Whether it gave way to other customers.
    """

    __slots__ = ('is_over_share', 'request_id', 'retry_after_s')

    def __init__(
        self,
        request_id: str,
        retry_after_s: float,
        *,
        is_over_share: bool = False,
    ) -> None:
        self.is_over_share = is_over_share
        self.request_id = request_id
        self.retry_after_s = retry_after_s


Decision = Assigned | Refused


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
