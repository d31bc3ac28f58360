"""Output records of the scheduler: decisions and demand."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from apricotcart.codec.record import Record
from apricotcart.errors.tree import NOT_RUN

SHED_QUEUE_FULL = 'queue_full'
SHED_MAX_WAIT = 'max_wait'
SHED_DEADLINE = 'deadline'
SHED_QUARANTINED = 'quarantined'
SHED_UNKNOWN_CLASS = 'unknown_class'


class Dispatch(Record):
    """Decision to send the request to the endpoint now."""

    __slots__ = ('request_id', 'endpoint')

    def __init__(self, *, request_id: str, endpoint: str) -> None:
        self.request_id = request_id
        self.endpoint = endpoint


class Shed(Record):
    """Decision to shed the request.

    Parameters
    ----------
    request_id : str
        The request.
    reason : str
        One of the ``SHED_`` constants.
    retry_after_s : float
        Seconds after which the caller may retry.
    run_state : str
        ``not_run``, or ``may_have_run`` if an earlier attempt of the request
        reached an endpoint.
    """

    __slots__ = ('request_id', 'reason', 'retry_after_s', 'run_state')

    def __init__(
        self,
        *,
        request_id: str,
        reason: str,
        retry_after_s: float,
        run_state: str = NOT_RUN,
    ) -> None:
        self.run_state = run_state
        self.request_id = request_id
        self.reason = reason
        self.retry_after_s = retry_after_s


Decision = Dispatch | Shed


class TierDemand(Record):
    """Demand of one host for one pool and tier.

    Parameters
    ----------
    pool : str
        The pool.
    tier : int
        The tier.
    queued, in_flight : int
        Number of queued and running requests.
    weight : float
        Sum of the weights of customers with queued or running requests.
    """

    __slots__ = ('pool', 'tier', 'queued', 'in_flight', 'weight')

    def __init__(
        self,
        *,
        pool: str,
        tier: int,
        queued: int = 0,
        in_flight: int = 0,
        weight: float = 1.0,
    ) -> None:
        self.pool = pool
        self.tier = tier
        self.queued = queued
        self.in_flight = in_flight
        self.weight = weight


class Demand:
    """Demand of one host, sent in its sync message.

    Parameters
    ----------
    tiers : sequence of TierDemand
        One entry for each pool and tier with queued or running requests.
    running : mapping of str to int
        Requests in flight by endpoint; idle endpoints are omitted.
    """

    __slots__ = ('tiers', 'running')

    def __init__(
        self,
        *,
        tiers: Sequence[TierDemand] = (),
        running: Mapping[str, int] | None = None,
    ) -> None:
        self.tiers = tuple(tiers)
        self.running = dict(running or {})

    @classmethod
    def from_wire(cls, fields: Mapping[str, Any]) -> Demand:
        """Build the demand from its wire form."""
        tiers = [TierDemand.from_wire(entry) for entry in fields['tiers']]
        return cls(tiers=tiers, running=fields['running'])

    def to_wire(self) -> dict[str, Any]:
        """Return the wire form, a mapping that msgpack can encode."""
        return {
            'tiers': [entry.to_wire() for entry in self.tiers],
            'running': self.running,
        }
