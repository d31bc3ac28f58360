"""Records of endpoints, their load reports and cache events."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Self

from apricotcart.codec.record import Record


class Endpoint(Record):
    """Configuration of an endpoint.

    Parameters
    ----------
    name, pool, zone : str
        Names of the endpoint, its pool and its availability zone.
    slots : int
        Maximum number of concurrent requests from all hosts.
    cheap : bool
        Whether it is a spot endpoint.
    leaving : bool
        Whether it drains and gets no new requests.
    models : sequence of str
        Models that it serves; empty for a service without models.
    """

    __slots__ = ('name', 'pool', 'zone', 'slots', 'cheap', 'leaving', 'models')

    def __init__(
        self,
        *,
        name: str,
        pool: str,
        zone: str = '',
        slots: int = 1,
        cheap: bool = False,
        leaving: bool = False,
        models: Sequence[str] = (),
    ) -> None:
        self.name = name
        self.pool = pool
        self.zone = zone
        self.slots = slots
        self.cheap = cheap
        self.leaving = leaving
        self.models = tuple(models)

    @classmethod
    def from_spec(cls, name: str, spec: Mapping[str, Any]) -> Self:
        """Build the record from the spec of an ``endpoint`` resource."""
        return cls(
            name=name,
            pool=spec['pool'],
            zone=spec.get('zone', ''),
            slots=spec.get('slots', 1),
            cheap=spec.get('cheap', False),
            leaving=spec.get('leaving', False),
            models=spec.get('models') or (),
        )


class LoadReport(Record):
    """Load reported by an engine.

    Parameters
    ----------
    slots_used : int
        Running requests of all hosts at the time of measurement.
    queue : int
        Requests queued inside the engine.
    token_rate : float
        Output tokens per second over all running requests.
    measured_at : float
        Time of measurement: monotonic seconds of this host at arrival, minus
        the reported lag.
    """

    __slots__ = ('slots_used', 'queue', 'token_rate', 'measured_at')

    def __init__(
        self,
        *,
        slots_used: int,
        queue: int = 0,
        token_rate: float = 0,
        measured_at: float = 0,
    ) -> None:
        self.slots_used = slots_used
        self.queue = queue
        self.token_rate = token_rate
        self.measured_at = measured_at


class CacheEvent(Record):
    """A change of an engine's prefix cache.

    Parameters
    ----------
    sequence : int
        Sequence number; a gap means that events were lost.
    customer, prefix_hash : str
        Customer and hash of the prefix.
    stored : bool
        Whether the prefix was cached (True) or evicted (False).
    """

    __slots__ = ('sequence', 'customer', 'prefix_hash', 'stored')

    def __init__(
        self, *, sequence: int, customer: str, prefix_hash: str, stored: bool
    ) -> None:
        self.sequence = sequence
        self.customer = customer
        self.prefix_hash = prefix_hash
        self.stored = stored
