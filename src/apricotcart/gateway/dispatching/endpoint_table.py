"""Endpoints of all services and their load as known to this host."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from apricotcart.endpoints.instances import Instance
from apricotcart.endpoints.recent_outcomes import OutcomeCounts
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    LoadSummary,
)


class EndpointTable:
    """Endpoints by id; an endpoint that stays listed keeps its state."""

    __slots__ = ('_endpoints', '_evacuated', '_peer_hosts')

    def __init__(self) -> None:
        self._peer_hosts = 0
        self._evacuated: Collection[str] = ()
        self._endpoints: dict[str, EndpointState] = {}

    def replace(self, instances: Iterable[Instance], now: float) -> None:
        """Replace the endpoints; known ones keep their state.

        Parameters
        ----------
        instances : iterable of Instance
            All endpoints.
        now : float
            Time in seconds.
        """
        endpoints: dict[str, EndpointState] = {}
        for instance in instances:
            endpoint = self._endpoints.get(instance.instance_id)
            if endpoint is None or endpoint.instance.key != instance.key:
                endpoint = EndpointState(instance, self._peer_hosts, now)
            endpoint.instance = instance
            endpoint.listing.updated_at = now
            endpoint.listing.is_evacuated = instance.zone in self._evacuated
            endpoints[instance.instance_id] = endpoint
        for name, known in self._endpoints.items():
            known.listing.is_current = endpoints.get(name) is known
        self._endpoints = endpoints

    def evacuate(self, zones: Collection[str]) -> None:
        """Replace the availability zones whose endpoints get no requests."""
        self._evacuated = zones
        for endpoint in self._endpoints.values():
            endpoint.listing.is_evacuated = endpoint.instance.zone in zones

    def update_remote_loads(
        self, loads: Mapping[str, LoadSummary], hosts: int
    ) -> None:
        """Apply the load of the other hosts on each endpoint.

        Parameters
        ----------
        loads : mapping of str to LoadSummary
            Load by endpoint id.
        hosts : int
            Number of gateways, including this one.
        """
        self._peer_hosts = max(0, hosts - 1)
        for name, endpoint in self._endpoints.items():
            endpoint.remote_load = loads.get(name) or LoadSummary()
            endpoint.peer_hosts = self._peer_hosts
            endpoint.unreported_requests = 0
            endpoint.unreported_prefill_tokens = 0

    def update_remote_outcomes(
        self, outcomes: Mapping[str, OutcomeCounts]
    ) -> None:
        """Apply how often the requests of the other hosts failed, by id."""
        for name, endpoint in self._endpoints.items():
            endpoint.outcomes.remote = outcomes.get(name) or OutcomeCounts()

    def forget_failures(self) -> None:
        """Forget the failures that this host has seen, and the penalties."""
        for endpoint in self._endpoints.values():
            endpoint.on_success()
            endpoint.outcomes.forget_failures()

    def get(self, name: str) -> EndpointState | None:
        """Return the endpoint with an id."""
        return self._endpoints.get(name)

    def accepting_addresses(self) -> list[str]:
        """Return the addresses of the endpoints that accept requests."""
        return [
            endpoint.instance.address
            for endpoint in self.all_endpoints()
            if endpoint.accepts_requests
        ]

    def all_endpoints(self) -> list[EndpointState]:
        """Return all endpoints."""
        return list(self._endpoints.values())

    def of_service(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service that accept requests."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.instance.service == service
            and endpoint.accepts_requests
        ]
