"""Figures that gateways share through the leader with each sync."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from apricotcart.codec.record import Record

# Tokens of running and of queued requests, by customer.
CustomerLoads = Mapping[str, Sequence[int]]


class GatewayFigures(Record):
    """What one gateway tells the others.

    Attributes
    ----------
    customer_loads : dict
        Tokens of its running and of its queued requests, by service and
        customer.
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
    """

    __slots__ = (
        'customer_loads',
        'endpoint_reports',
        'evacuation_revision',
        'fetches_state',
        'reads_deflated',
        'room',
        'state_address',
        'state_version',
    )

    def __init__(
        self,
        *,
        customer_loads: Mapping[str, CustomerLoads] | None = None,
        endpoint_reports: Mapping[str, Sequence[float]] | None = None,
        state_version: int = -1,
        evacuation_revision: int = 0,
        room: float | None = None,
        fetches_state: bool = False,
        reads_deflated: bool = False,
        state_address: str = '',
    ) -> None:
        self.fetches_state = fetches_state
        self.reads_deflated = reads_deflated
        self.state_address = state_address
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
        Tokens of running and of queued requests at the other gateways, by
        service and customer.
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
    """

    __slots__ = (
        'customer_loads',
        'endpoint_reports',
        'evacuations',
        'state_document',
        'state_sources',
        'state_version',
    )

    def __init__(
        self,
        *,
        customer_loads: Mapping[str, CustomerLoads] | None = None,
        endpoint_reports: Mapping[str, Sequence[float]] | None = None,
        state_version: int = -1,
        evacuations: Mapping[str, Any] | None = None,
        state_document: bytes | None = None,
        state_sources: Sequence[str] = (),
    ) -> None:
        self.state_document = state_document
        self.state_sources = state_sources
        self.customer_loads = customer_loads or {}
        self.endpoint_reports = endpoint_reports or {}
        self.state_version = state_version
        self.evacuations = evacuations or {}
