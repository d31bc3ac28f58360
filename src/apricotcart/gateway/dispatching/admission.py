"""Decides whether an endpoint can take one more request now."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

from apricotcart.desired.records import Engine
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.dispatching.endpoint_limits import EndpointLimits
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    Requirements,
)
from apricotcart.resumption.serving_versions import VersionsByService

# Requests that an endpoint without an engine may queue, relative to its slots.
_PLAIN_QUEUE_RATIO: Final = 2
# Prefill tokens that may be queued at an engine by requests of the lowest
# level, and how many more each level above may add. An engine prefills in the
# order of arrival, so that a long backlog delays urgent requests.
_BACKLOG_TOKENS: Final = 28_000
_BACKLOG_TOKENS_PER_LEVEL: Final = 36_000
# How many times its even share of the backlog one host may fill before the
# other hosts' load is reported.
_LOCAL_BACKLOG_FACTOR: Final = 2
_NO_VERSIONS: Final[frozenset[str]] = frozenset()


class Admission:
    """Limits what this host sends to each endpoint.

    Attributes
    ----------
    engines : mapping of str to Engine
        Capacity of the engines, by service; other services have none.
    versions : mapping of str to frozenset of str
        Software versions that the control hosts have committed, by service.
    limits : EndpointLimits
        Keeps requests within what endpoints bear.
    """

    __slots__ = ('engines', 'limits', 'versions')

    def __init__(self) -> None:
        self.engines: Mapping[str, Engine] = {}
        self.versions: VersionsByService = {}
        self.limits = EndpointLimits()

    def accepts(
        self,
        now: float,
        endpoint: EndpointState,
        requirements: Requirements,
        excluded: Collection[str],
    ) -> bool:
        """Return whether an endpoint can take a request now.

        Parameters
        ----------
        now : float
            Time in seconds.
        endpoint : EndpointState
            Endpoint and its load.
        requirements : Requirements
            What the request requires.
        excluded : collection of str
            Ids of endpoints that the request must not be sent to again.
        """
        instance = endpoint.instance
        if instance.instance_id in excluded:
            return False
        if not self._fits(endpoint, requirements):
            return False
        engine = self.engines.get(requirements.service)
        if not self._keeps_to_notices(now, endpoint, engine):
            return False
        if engine is None:
            max_requests = instance.slots * (1 + _PLAIN_QUEUE_RATIO)
            return endpoint.requests < max_requests * requirements.slot_ratio
        return _has_capacity(endpoint, requirements, engine)

    def _keeps_to_notices(
        self, now: float, endpoint: EndpointState, engine: Engine | None
    ) -> bool:
        """Return whether a request is what the endpoint says it takes."""
        if endpoint.notices.pause_left_s(now) > 0:
            return False
        slots = endpoint.instance.slots
        if engine is not None:
            slots = min(slots, engine.slots)
        return self.limits.allows(endpoint, slots, now)

    def _fits(
        self, endpoint: EndpointState, requirements: Requirements
    ) -> bool:
        return (
            endpoint.accepts_requests
            and requirements.allows(endpoint.instance)
            and self._may_begin(endpoint.instance, requirements)
        )

    def _may_begin(
        self, instance: Instance, requirements: Requirements
    ) -> bool:
        """Return whether an endpoint's version may begin a response.

        A response that can be resumed elsewhere begins only at a version that
        all hosts can learn of, or goes on at the one that began it.
        """
        is_begun = requirements.software_version is not None
        if is_begun or not requirements.is_resumable:
            return True
        committed = self.versions.get(instance.service, _NO_VERSIONS)
        return instance.software_version in committed


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
