"""Records of endpoints and their load reports."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Self

from apricotcart.codec.record import Record


class Endpoint(Record):
    """An endpoint as configured.

    Parameters
    ----------
    name, pool, zone : str
        Names of the endpoint, its pool and its availability zone.
    slots : int
        Requests that it runs at the same time over all hosts.
    cheap : bool
        Whether it is a spot endpoint.
    leaving : bool
        Whether it drains and gets no new work.
    models : sequence of str
        Models that it serves; empty for a plain service.
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
        """Keep the fields."""
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
    """The load that an engine reported.

    Parameters
    ----------
    slots_used : int
        Requests that ran at the time of measurement, of all hosts.
    queue : int
        Requests that waited inside the engine.
    token_rate : float
        Output tokens per second over all running requests.
    measured_at : float
        Monotonic seconds of this host, with the reported lag taken off.
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
        """Keep the fields."""
        self.slots_used = slots_used
        self.queue = queue
        self.token_rate = token_rate
        self.measured_at = measured_at


class CacheEvent(Record):
    """A change of an engine's prefix cache.

    Parameters
    ----------
    sequence : int
        Number of the event; a gap shows that events were lost.
    customer, prefix_hash : str
        The prefix.
    stored : bool
        Whether the engine now holds the prefix.
    """

    __slots__ = ('sequence', 'customer', 'prefix_hash', 'stored')

    def __init__(
        self, *, sequence: int, customer: str, prefix_hash: str, stored: bool
    ) -> None:
        """Keep the fields."""
        self.sequence = sequence
        self.customer = customer
        self.prefix_hash = prefix_hash
        self.stored = stored
