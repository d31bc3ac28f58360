"""Chooses an endpoint for a request by the load of the endpoints.

Long prompts compete with short urgent ones: the time to first token of a new
request is determined by the prefill work queued at the endpoint, and every
prefill increases the inter-token latency of the streams that run beside it. The
streams with the lowest latency target therefore get dedicated engines, which
all hosts select identically without communicating.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final

from apricotcart.desired.records import Engine
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.dispatching.admission import Admission
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    LoadSummary,
    PlacedRequest,
    Requirements,
)
from apricotcart.gateway.dispatching.endpoint_table import EndpointTable
from apricotcart.gateway.dispatching.evacuations import Evacuations
from apricotcart.gateway.dispatching.prefix_homes import (
    estimate_prefill_work,
    find_copy_source,
    find_homes,
    is_copy_worthwhile,
)
from apricotcart.gateway.dispatching.rate_limits import StartEstimate
from apricotcart.gateway.dispatching.reservation import Reservation
from apricotcart.gateway.dispatching.slot_grants import SlotGrants
from apricotcart.resumption.serving_versions import VersionsByService

# Cost of one more running request to the others, in prefill tokens, so that
# both can be added.
REQUEST_COST_TOKENS: Final = 300
# Cost of sending a request to another availability zone in prefill tokens: the
# round trip and the price of the traffic.
ZONE_COST_TOKENS: Final = 500
# Weight of prefilling a shared prefix again. It costs more than its time, since
# it evicts other prefixes: a request is queued behind up to this many times its
# shared tokens instead.
_PREFILL_WEIGHT: Final = 6
# Cost of an endpoint that is warming up, in prefill tokens.
_WARMUP_COST_TOKENS: Final = 20_000
# Maximum cost by which hosts prefer different brittle endpoints, in prefill
# tokens: that of a few requests, since loads are known with a delay.
_SPREAD_COST_TOKENS: Final = 1500
# Cost of a failed request, in prefill tokens: most requests cannot be sent
# again, and the others start late. It is weighted with the ratio of failures.
_FAILURE_COST_TOKENS: Final = 100_000
# Cost of an endpoint that has just failed, in prefill tokens.
_PENALTY_COST_TOKENS: Final = 200_000


class Placement:
    """Endpoints of all services and their load.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    host : str
        Name of this host.

    Attributes
    ----------
    table : EndpointTable
        The endpoints and what is known of them.
    limits : EndpointLimits
        Keeps requests within what endpoints bear.
    evacuations : Evacuations
        Zones whose endpoints get no requests.
    reservation : Reservation
        Number of engines reserved for latency-critical streams.
    """

    __slots__ = (
        '_admission',
        '_now',
        '_slot_grants',
        '_zone',
        'evacuations',
        'limits',
        'reservation',
        'table',
    )

    def __init__(self, zone: str, host: str = '') -> None:
        self._zone = zone
        self._now: float = 0
        self.table = EndpointTable()
        self._admission = Admission()
        self.limits = self._admission.limits
        self.evacuations = Evacuations(self.table, self.limits.cold)
        self.reservation = Reservation()
        self._slot_grants = SlotGrants(host, self.reservation)

    def configure(self, engines: Mapping[str, Engine]) -> None:
        """Set the engine capacity of the services by service name."""
        self._admission.engines = engines

    def update_instances(
        self,
        instances: Iterable[Instance],
        now: float = 0,
    ) -> None:
        """Replace the endpoints at a time; known ones keep their state."""
        self.table.replace(instances, now)

    def update_versions(self, versions: VersionsByService) -> None:
        """Set the software versions that the control hosts have committed."""
        self._admission.versions = versions

    def update_remote_loads(
        self, loads: Mapping[str, LoadSummary], hosts: int
    ) -> None:
        """Apply the load of the other hosts, of which there are ``hosts``."""
        self.table.update_remote_loads(loads, hosts)

    def start_estimate(
        self, requirements: Requirements, now: float
    ) -> StartEstimate:
        """Return when requests may start by what their endpoints ask for."""
        allowed = self._allowed(requirements)
        pauses_s = [endpoint.notices.pause_left_s(now) for endpoint in allowed]
        return StartEstimate(
            pause_s=min(pauses_s, default=0),
            rate_per_s=self.limits.rate_per_s(allowed),
        )

    def endpoint(self, name: str) -> EndpointState | None:
        """Return the endpoint with an id."""
        return self.table.get(name)

    def endpoints(self) -> list[EndpointState]:
        """Return all endpoints."""
        return self.table.all_endpoints()

    def choose(
        self,
        now: float,
        requirements: Requirements,
        excluded: Collection[str] = (),
    ) -> EndpointState | None:
        """Return the endpoint with the lowest cost, None if all are full.

        Parameters
        ----------
        now : float
            Time in seconds.
        requirements : Requirements
            What the request requires.
        excluded : collection of str
            Ids of endpoints that the request must not be sent to again.
        """
        self._now = now
        if not self.evacuations.may_send(now):
            return None
        service = requirements.service
        self.limits.update_service(service, self.table.of_service(service), now)
        eligible = self._eligible_endpoints(requirements)
        homes = _homes_among(requirements, eligible)
        candidates = [
            endpoint
            for endpoint in eligible
            if self._admission.accepts(now, endpoint, requirements, excluded)
            and (
                endpoint in homes
                or self._has_slot_grant(endpoint, requirements)
            )
        ]
        if not candidates and _may_use_any(requirements, eligible):
            candidates = [
                endpoint
                for endpoint in self.table.all_endpoints()
                if self._admission.accepts(
                    now, endpoint, requirements, excluded
                )
            ]
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda endpoint: self._cost(now, endpoint, requirements, homes),
        )

    def serves(
        self, requirements: Requirements, excluded: Collection[str]
    ) -> bool:
        """Return whether an endpoint may ever accept a request.

        Parameters
        ----------
        requirements : Requirements
            What the request requires.
        excluded : collection of str
            Ids of endpoints that the request must not be sent to again.
        """
        return any(
            endpoint.instance.instance_id not in excluded
            for endpoint in self._allowed(requirements)
        )

    def place(
        self,
        request_id: str,
        endpoint: EndpointState,
        requirements: Requirements,
    ) -> PlacedRequest:
        """Record a request as placed on an endpoint."""
        eligible = self._eligible_endpoints(requirements)
        copy_source = find_copy_source(
            endpoint,
            requirements,
            self._now,
            _copy_candidates(
                self.table.all_endpoints(), requirements, eligible
            ),
        )
        prefill_work = estimate_prefill_work(
            endpoint,
            requirements,
            _homes_among(requirements, eligible),
        )
        address = copy_source.instance.address if copy_source else ''
        placed = PlacedRequest(requirements, prefill_work, address)
        endpoint.local_requests[request_id] = placed
        self.limits.count_request(endpoint, self._now)
        self._slot_grants.count_request(self._now, endpoint)
        endpoint.unreported_requests += 1
        endpoint.unreported_prefill_tokens += placed.prefill_tokens
        endpoint.record_prefill(requirements.parts)
        return placed

    def _allowed(self, requirements: Requirements) -> list[EndpointState]:
        """Return the endpoints that may ever run such a request."""
        return [
            endpoint
            for endpoint in self.table.of_service(requirements.service)
            if requirements.allows(endpoint.instance)
        ]

    def _eligible_endpoints(
        self, requirements: Requirements
    ) -> list[EndpointState]:
        """Return the endpoints that serve requests of this kind."""
        endpoints = self.table.of_service(requirements.service)
        engine = self._admission.engines.get(requirements.service)
        if engine is None or len(endpoints) < 2:
            return endpoints
        endpoints.sort(key=lambda endpoint: endpoint.hash_order)
        reserved = self.reservation.reserved_engines(
            requirements.service, len(endpoints), engine, self._now
        )
        return (
            endpoints[:reserved]
            if requirements.is_latency_critical
            else endpoints[reserved:]
        )

    def _has_slot_grant(
        self, endpoint: EndpointState, requirements: Requirements
    ) -> bool:
        engine = self._admission.engines.get(requirements.service)
        if engine is None:
            return True
        # The slots of a brittle endpoint are divided already.
        if self.limits.divides_slots(endpoint):
            return True
        return self._slot_grants.allows(
            self._now, endpoint, requirements, engine
        )

    def _cost(
        self,
        now: float,
        endpoint: EndpointState,
        requirements: Requirements,
        homes: Sequence[EndpointState],
    ) -> float:
        prefill_work = estimate_prefill_work(endpoint, requirements, homes)
        shared_prefill_work = max(
            0,
            prefill_work
            - requirements.prefill_work(requirements.unshared_tokens),
        )
        cost: float = endpoint.estimated_prefill_tokens + prefill_work
        if not is_copy_worthwhile(requirements, homes):
            cost += shared_prefill_work * (_PREFILL_WEIGHT - 1)
        cost += endpoint.estimated_requests * REQUEST_COST_TOKENS
        if endpoint.instance.zone != self._zone:
            cost += self._zone_cost(requirements)
        if endpoint.instance.warmup_s > 0:
            cost += _WARMUP_COST_TOKENS
        cost += self.limits.spread(endpoint, now) * _SPREAD_COST_TOKENS
        cost += endpoint.outcomes.failure_ratio(now) * _FAILURE_COST_TOKENS
        if now < endpoint.penalty_until:
            cost += _PENALTY_COST_TOKENS
        return cost

    def _zone_cost(self, requirements: Requirements) -> float:
        if requirements.service in self._admission.engines:
            return ZONE_COST_TOKENS
        # Requests to a service without engines are small: sending one to
        # another zone is better than queueing it behind another request.
        return REQUEST_COST_TOKENS


def _copy_candidates(
    endpoints: Iterable[EndpointState],
    requirements: Requirements,
    eligible: Sequence[EndpointState],
) -> list[EndpointState]:
    """Return the endpoints that a prefix may be copied from."""
    draining = [
        endpoint
        for endpoint in endpoints
        if endpoint.instance.service == requirements.service
        and endpoint.is_copy_source
    ]
    return [*eligible, *draining]


def _homes_among(
    requirements: Requirements, eligible: Sequence[EndpointState]
) -> list[EndpointState]:
    """Return the homes of the shared prefix.

    An endpoint with a limit is no home, unless all have one: most requests
    with the prefix would go elsewhere.
    """
    unlimited = [
        endpoint
        for endpoint in eligible
        if endpoint.notices.limit_per_s is None
    ]
    return find_homes(requirements.shared_prefix_id, unlimited or eligible)


def _may_use_any(
    requirements: Requirements, eligible: Iterable[EndpointState]
) -> bool:
    """Return whether endpoints reserved for other requests may be used."""
    if requirements.is_latency_critical:
        return True
    # A single endpoint may have the version that a stream requires.
    if requirements.software_version is not None:
        return True
    return all(
        endpoint.notices.limit_per_s is not None for endpoint in eligible
    )
