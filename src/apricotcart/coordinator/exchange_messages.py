"""Figures that gateways share through the leader with each sync."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Final

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
        Version of the desired state that it has or is fetching, -1 without.
    evacuation_revision : int
        Revision of the evacuated zones that it obeys, 0 without any.
    room : float or None
        Share of its own capacity that is free, between 0 and 1; None if it
        does not know.
    stream_demands : dict
        Its running and queued requests by service: streams with the lowest
        latency target, and others.
    """

    __slots__ = (
        'customer_loads',
        'endpoint_reports',
        'evacuation_revision',
        'room',
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
        stream_demands: Mapping[str, Sequence[int]] | None = None,
    ) -> None:
        self.stream_demands = stream_demands or {}
        self.customer_loads = customer_loads or {}
        self.endpoint_reports = endpoint_reports or {}
        self.state_version = state_version
        self.evacuation_revision = evacuation_revision
        self.room = room


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
    evacuations : dict
        Evacuated zones and their revision, in wire form; empty without.
    stream_demands : dict
        Running and queued requests of all gateways by service: streams with
        the lowest latency target, and others. Empty if not known.
    """

    __slots__ = (
        'customer_loads',
        'endpoint_reports',
        'evacuations',
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
        stream_demands: Mapping[str, Sequence[int]] | None = None,
    ) -> None:
        self.stream_demands = stream_demands or {}
        self.customer_loads = customer_loads or {}
        self.endpoint_reports = endpoint_reports or {}
        self.state_version = state_version
        self.evacuations = evacuations or {}
