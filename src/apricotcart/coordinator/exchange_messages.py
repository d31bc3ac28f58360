"""Figures that gateways share through the leader with each sync."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Final, Self

from apricotcart.codec.record import Record

# Levels of urgency, the least urgent first.
LOAD_LEVELS: Final = 3
# Figures of a customer: tokens of its running and of its queued requests, for
# each level.
LOAD_FIGURES: Final = 2 * LOAD_LEVELS
# Figures by customer.
CustomerLoads = Mapping[str, Sequence[int]]


class GatewayFigures(Record):
    """What one gateway tells the others.

    Attributes
    ----------
    customer_loads : dict
        Tokens of its running and of its queued requests at each level, by
        service and customer.
    endpoint_reports : dict
        What endpoints last said to it about their load, by endpoint.
    state_version : int
        Version of the desired state that it has, -1 without.
    fetches_state : bool
        Whether it fetches a large desired state in blocks.
    reads_deflated : bool
        Whether it understands a compressed reply.
    state_address : str
        Address at which it gives other gateways blocks of it, or empty.
    evacuation_revision : int
        Revision of the evacuated zones that it obeys, 0 without any.
    room : float or None
        Share of its own capacity that is free, between 0 and 1; None if it
        does not know.
    answer_times : dict
        Answers by kind of request and by bucket of the time that they took.
    stream_demands : dict
        Its running and queued requests by service: streams with the lowest
        latency target, and others.
    """

    __slots__ = (
        'answer_times',
        'customer_loads',
        'endpoint_reports',
        'evacuation_revision',
        'fetches_state',
        'reads_deflated',
        'room',
        'state_address',
        'state_version',
        'stream_demands',
    )

    def __init__(
        self,
        *,
        customer_loads: Mapping[str, CustomerLoads] | None = None,
        endpoint_reports: Mapping[str, Sequence[float]] | None = None,
        state_version: int = -1,
        evacuation_revision: int = 0,
        room: float | None = None,
        answer_times: Mapping[str, Mapping[int, float]] | None = None,
        fetches_state: bool = False,
        reads_deflated: bool = False,
        state_address: str = '',
        stream_demands: Mapping[str, Sequence[int]] | None = None,
    ) -> None:
        self.answer_times = answer_times or {}
        self.fetches_state = fetches_state
        self.reads_deflated = reads_deflated
        self.state_address = state_address
        self.stream_demands = stream_demands or {}
        self.customer_loads = customer_loads or {}
        self.endpoint_reports = endpoint_reports or {}
        self.state_version = state_version
        self.evacuation_revision = evacuation_revision
        self.room = room


class ZoneStatus(Record):
    """What gateways learn about one zone.

    Attributes
    ----------
    is_evacuated : bool
        Whether nothing more is to be sent to its endpoints.
    revision : int
        Revision of its last change.
    age_s : float
        Time since the leader learned of that change, in seconds.
    """

    __slots__ = ('age_s', 'is_evacuated', 'revision')

    def __init__(
        self, *, is_evacuated: bool, revision: int, age_s: float
    ) -> None:
        self.is_evacuated = is_evacuated
        self.revision = revision
        self.age_s = age_s


class EvacuatedZones(Record):
    """Zones that are or were evacuated.

    Attributes
    ----------
    zones : dict of str to ZoneStatus
        The zones by name.
    """

    __slots__ = ('zones',)

    def __init__(self, *, zones: Mapping[str, ZoneStatus]) -> None:
        self.zones = zones

    @property
    def revision(self) -> int:
        """Revision of the last change, 0 without any."""
        return max((word.revision for word in self.zones.values()), default=0)

    def to_wire(self) -> dict[str, Any]:
        """Return the zones in wire form."""
        return {
            'zones': {zone: word.to_wire() for zone, word in self.zones.items()}
        }

    @classmethod
    def from_wire(cls, fields: Mapping[str, Any]) -> Self:
        """Return the zones of a message; it may be empty."""
        zones = fields.get('zones', {})
        return cls(
            zones={
                zone: ZoneStatus.from_wire(word) for zone, word in zones.items()
            }
        )


class SharedFigures(Record):
    """What the leader tells one gateway about all others.

    Attributes
    ----------
    customer_loads : dict
        Tokens of running and of queued requests at each level at the other
        gateways, by service and customer.
    endpoint_reports : dict
        The newest report of each endpoint to any gateway, with its age.
    state_version : int
        Newest version of the desired state, -1 without one.
    state_document : bytes or None
        That state, compressed, if it is small and the gateway lacks it.
    state_sources : sequence of str
        Addresses of gateways that give others the blocks that they have.
    evacuations : dict
        Evacuated zones and their revision, in wire form; empty without.
    answer_times : dict
        Answers by kind of request and by bucket of the time that they took.
    stream_demands : dict
        Running and queued requests of all gateways by service: streams with
        the lowest latency target, and others. Empty if not known.
    """

    __slots__ = (
        'answer_times',
        'customer_loads',
        'endpoint_reports',
        'evacuations',
        'state_document',
        'state_sources',
        'state_version',
        'stream_demands',
    )

    def __init__(
        self,
        *,
        customer_loads: Mapping[str, CustomerLoads] | None = None,
        endpoint_reports: Mapping[str, Sequence[float]] | None = None,
        state_version: int = -1,
        evacuations: Mapping[str, Any] | None = None,
        answer_times: Mapping[str, Mapping[int, float]] | None = None,
        state_document: bytes | None = None,
        state_sources: Sequence[str] = (),
        stream_demands: Mapping[str, Sequence[int]] | None = None,
    ) -> None:
        self.answer_times = answer_times or {}
        self.state_document = state_document
        self.state_sources = state_sources
        self.stream_demands = stream_demands or {}
        self.customer_loads = customer_loads or {}
        self.endpoint_reports = endpoint_reports or {}
        self.state_version = state_version
        self.evacuations = evacuations or {}
