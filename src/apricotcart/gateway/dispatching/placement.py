"""Chooses an endpoint for a request by the load of the endpoints.

Long prompts compete with short urgent ones: the time to first token of a new
request is determined by the prefill work queued at the endpoint, and every
prefill increases the inter-token latency of the streams that run beside it. The
streams with the lowest latency target therefore get dedicated engines, which
all hosts select identically without communicating.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from typing import Final

from apricotcart.desired.records import Engine
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    LoadSummary,
    PlacedRequest,
    Requirements,
)
from apricotcart.gateway.dispatching.hashing import hash_to_unit
from apricotcart.gateway.dispatching.prefix_homes import (
    estimate_prefill_work,
    find_copy_source,
    find_homes,
    is_copy_worthwhile,
)
from apricotcart.gateway.dispatching.rate_limits import (
    RateLimits,
    StartEstimate,
)

# Cost of one more running request to the others, in prefill tokens, so that
# both can be added.
REQUEST_COST_TOKENS: Final = 300
# Cost of sending a request to another availability zone in prefill tokens: the
# round trip and the price of the traffic.
ZONE_COST_TOKENS: Final = 500
# Ratio of the engines of a service that are reserved for the streams with the
# lowest inter-token latency target.
_LATENCY_CRITICAL_ENGINE_RATIO: Final = 0.25
# Weight of prefilling a shared prefix again. It costs more than its time, since
# it evicts other prefixes: a request is queued behind up to this many times its
# shared tokens instead.
_PREFILL_WEIGHT: Final = 6
# Cost of an endpoint that is warming up, in prefill tokens.
_WARMUP_COST_TOKENS: Final = 20_000
# Cost of an endpoint that has just failed, in prefill tokens.
_PENALTY_COST_TOKENS: Final = 200_000
# Requests that an endpoint without an engine may queue, relative to its slots.
_PLAIN_QUEUE_RATIO: Final = 2
# Prefill tokens that may be queued at an engine by requests of the lowest
# level, and how many more each level above may add. An engine prefills in the
# order of arrival, so that a long backlog delays urgent requests.
_BACKLOG_TOKENS: Final = 28_000
_BACKLOG_TOKENS_PER_LEVEL: Final = 36_000
# Period for which free slots are divided among the hosts. It is about the age
# of the load that the other hosts report.
_GRANT_PERIOD_S: Final = 0.4
# How many times its even share of the backlog one host may fill before the
# other hosts' load is reported.
_LOCAL_BACKLOG_FACTOR: Final = 2


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
    rate_limits : RateLimits
        Keeps requests within the limits that endpoints name.
    """

    __slots__ = (
        '_engines',
        '_host',
        '_now',
        '_peer_hosts',
        '_period',
        '_endpoints',
        '_zone',
        'rate_limits',
    )

    def __init__(self, zone: str, host: str = '') -> None:
        self._zone = zone
        self._host = host
        self._now: float = 0
        self._peer_hosts = 0
        self._period = 0
        self.rate_limits = RateLimits()
        self._engines: dict[str, Engine] = {}
        self._endpoints: dict[str, EndpointState] = {}

    def configure(self, engines: dict[str, Engine]) -> None:
        """Set the engine capacity of the services by service name."""
        self._engines = engines

    def update_instances(
        self,
        instances: Iterable[Instance],
        now: float = 0,
    ) -> None:
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
            endpoints[instance.instance_id] = endpoint
        for name, known in self._endpoints.items():
            known.is_listed = endpoints.get(name) is known
        self._endpoints = endpoints

    def update_remote_loads(
        self, loads: dict[str, LoadSummary], hosts: int
    ) -> None:
        """Apply the load of the other hosts on each endpoint.

        Parameters
        ----------
        loads : dict of str to LoadSummary
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

    def start_estimate(
        self, requirements: Requirements, now: float
    ) -> StartEstimate:
        """Return when requests may start by what their endpoints ask for."""
        allowed = self._allowed(requirements)
        pauses_s = [endpoint.notices.pause_left_s(now) for endpoint in allowed]
        return StartEstimate(
            pause_s=min(pauses_s, default=0),
            rate_per_s=self.rate_limits.rate_per_s(allowed),
        )

    def endpoint(self, name: str) -> EndpointState | None:
        """Return the endpoint with an id."""
        return self._endpoints.get(name)

    def endpoints(self) -> list[EndpointState]:
        """Return all endpoints."""
        return list(self._endpoints.values())

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
        self._period = int(now / _GRANT_PERIOD_S)
        eligible = self._eligible_endpoints(requirements)
        homes = _homes_among(requirements, eligible)
        candidates = [
            endpoint
            for endpoint in eligible
            if self._accepts(endpoint, requirements, excluded)
            and (
                endpoint in homes
                or self._has_slot_grant(endpoint, requirements)
            )
        ]
        if not candidates and _may_use_any(requirements, eligible):
            candidates = [
                endpoint
                for endpoint in self._endpoints.values()
                if self._accepts(endpoint, requirements, excluded)
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
            requirements.allows(endpoint.instance)
            and endpoint.accepts_requests
            and name not in excluded
            for name, endpoint in self._endpoints.items()
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
            _copy_candidates(self._endpoints.values(), requirements, eligible),
        )
        prefill_work = estimate_prefill_work(
            endpoint,
            requirements,
            _homes_among(requirements, eligible),
        )
        address = copy_source.instance.address if copy_source else ''
        placed = PlacedRequest(requirements, prefill_work, address)
        endpoint.local_requests[request_id] = placed
        self.rate_limits.count_request(endpoint, self._now)
        endpoint.slot_grants.increment(self._period)
        endpoint.unreported_requests += 1
        endpoint.unreported_prefill_tokens += placed.prefill_tokens
        endpoint.record_prefill(requirements.parts)
        return placed

    def _allowed(self, requirements: Requirements) -> list[EndpointState]:
        """Return the endpoints that may ever run such a request."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if requirements.allows(endpoint.instance)
            and endpoint.accepts_requests
        ]

    def _eligible_endpoints(
        self, requirements: Requirements
    ) -> list[EndpointState]:
        """Return the endpoints that serve requests of this kind."""
        endpoints = [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.instance.service == requirements.service
            and endpoint.accepts_requests
        ]
        if requirements.service not in self._engines or len(endpoints) < 2:
            return endpoints
        endpoints.sort(key=lambda endpoint: endpoint.hash_order)
        critical_count = max(
            1, round(len(endpoints) * _LATENCY_CRITICAL_ENGINE_RATIO)
        )
        return (
            endpoints[:critical_count]
            if requirements.is_latency_critical
            else endpoints[critical_count:]
        )

    def _has_slot_grant(
        self, endpoint: EndpointState, requirements: Requirements
    ) -> bool:
        """Return whether this host may use a free slot for a request.

        The hosts divide the free slots of an engine by a hash for each
        period, since otherwise all of them would fill an engine that has
        just become free. Short urgent requests are exempt since they free
        their slot soon, and so are the streams with the lowest latency
        target, which cannot wait for a grant.
        """
        engine = self._engines.get(requirements.service)
        if engine is None or requirements.is_latency_critical:
            return True
        if requirements.level and requirements.is_short:
            return True
        free_slots = engine.slots * requirements.slot_ratio - endpoint.requests
        fair_share = free_slots / (endpoint.peer_hosts + 1)
        granted_slots = math.floor(fair_share)
        period = str(self._period)
        if (
            hash_to_unit(self._host, endpoint.instance.instance_id, period)
            < fair_share - granted_slots
        ):
            granted_slots += 1
        return endpoint.slot_grants.count(self._period) < granted_slots

    def _accepts(
        self,
        endpoint: EndpointState,
        requirements: Requirements,
        excluded: Collection[str],
    ) -> bool:
        instance = endpoint.instance
        if not (requirements.allows(instance) and endpoint.accepts_requests):
            return False
        is_paused = endpoint.notices.pause_left_s(self._now) > 0
        if is_paused or instance.instance_id in excluded:
            return False
        if not self.rate_limits.allows(endpoint, self._now):
            return False
        engine = self._engines.get(requirements.service)
        if engine is None:
            max_requests = instance.slots * (1 + _PLAIN_QUEUE_RATIO)
            return endpoint.requests < max_requests * requirements.slot_ratio
        return _has_capacity(endpoint, requirements, engine)

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
        if now < endpoint.penalty_until:
            cost += _PENALTY_COST_TOKENS
        return cost

    def _zone_cost(self, requirements: Requirements) -> float:
        if requirements.service in self._engines:
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


def _has_capacity(
    endpoint: EndpointState, requirements: Requirements, engine: Engine
) -> bool:
    """Return whether an engine has a slot, memory and a short backlog."""
    if not endpoint.requests:
        return True
    if endpoint.requests >= engine.slots * requirements.slot_ratio:
        return False
    backlog_tokens = (
        _BACKLOG_TOKENS + requirements.level * _BACKLOG_TOKENS_PER_LEVEL
    )
    if _exceeds_backlog(endpoint.prefill_tokens, requirements, backlog_tokens):
        return False
    local_backlog_tokens = (
        backlog_tokens * _LOCAL_BACKLOG_FACTOR / (endpoint.peer_hosts + 1)
    )
    if _exceeds_backlog(
        endpoint.local_prefill_tokens, requirements, local_backlog_tokens
    ):
        return False
    kv_tokens = engine.kv_tokens * requirements.kv_ratio
    return requirements.tokens <= kv_tokens - endpoint.tokens


def _exceeds_backlog(
    prefill_tokens: int, requirements: Requirements, backlog_tokens: float
) -> bool:
    prefill_work = requirements.prefill_work(requirements.unshared_tokens)
    return prefill_tokens > 0 and prefill_tokens + prefill_work > backlog_tokens
