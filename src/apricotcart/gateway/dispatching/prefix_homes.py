"""Selects the engines that cache the shared prefixes of prompts.

Many prompts share long prefixes, and prefilling a prefix again delays other
prompts. Requests with the same prefix are therefore sent to its home engine, or
to a second home when the first is full; any other engine copies the KV cache.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from typing import Final

from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    Requirements,
)
from apricotcart.gateway.dispatching.hashing import hash_to_unit

# Cost of copying a shared prefix relative to prefilling it. It is above 1 since
# the copy takes memory, and since it is less certain than at the home engine
# that requests of other hosts have already filled the cache.
_COPY_COST_RATIO: Final = 1.5
# The same at the second home, which gets the requests when the first is full.
_SECOND_HOME_COST_RATIO: Final = 0.5
# Shared tokens below which prefilling is as fast as copying.
_COPY_MIN_TOKENS: Final = 100
# An engine that was listed more recently than this has few prefixes in its
# cache.
_SETTLED_S: Final = 5.0
# Endpoints that cache one prefix.
_HOMES_PER_PREFIX: Final = 2


def find_homes(
    part_id: str, endpoints: Iterable[EndpointState]
) -> list[EndpointState]:
    """Return the two home endpoints of a prefix, none for an empty id.

    Rendezvous hashing: the endpoints with the highest hash for the prefix
    win, so that all hosts agree and a change of the endpoints moves few
    prefixes.
    """
    if not part_id:
        return []
    return heapq.nlargest(
        _HOMES_PER_PREFIX,
        endpoints,
        key=lambda endpoint: hash_to_unit(
            part_id, endpoint.instance.instance_id
        ),
    )


def find_copy_source(
    chosen: EndpointState,
    requirements: Requirements,
    now: float,
    endpoints: Iterable[EndpointState],
) -> EndpointState | None:
    """Return the engine that most likely has the shared prefix cached.

    An engine that has just become the home copies the prefix from the
    previous home, which may be draining. Other engines copy from there too
    until the new home has been listed long enough to have filled its cache.

    Parameters
    ----------
    chosen : EndpointState
        Endpoint that was chosen for the request.
    requirements : Requirements
        What the request requires.
    now : float
        Time in seconds.
    endpoints : iterable of EndpointState
        Endpoints that may have the prefix cached.
    """
    if (
        requirements.shared_prefix_tokens < _COPY_MIN_TOKENS
        or chosen.has_cached(requirements.shared_prefix_id)
    ):
        return None
    others = [
        endpoint
        for endpoint in endpoints
        if endpoint is not chosen
        and not endpoint.has_failed
        and _has_same_software(endpoint, chosen)
    ]
    warm = [
        endpoint
        for endpoint in others
        if now >= endpoint.listing.first_at + _SETTLED_S
    ]
    homes = find_homes(requirements.shared_prefix_id, warm or others)
    return homes[0] if homes else None


def is_copy_worthwhile(
    requirements: Requirements, homes: Sequence[EndpointState]
) -> bool:
    """Return whether the shared prefix is worth copying from its home."""
    if not homes or homes[0].has_failed:
        return False
    return requirements.shared_prefix_tokens >= _COPY_MIN_TOKENS


def estimate_prefill_work(
    endpoint: EndpointState,
    requirements: Requirements,
    homes: Sequence[EndpointState],
) -> int:
    """Return the estimated prefill work of a prompt at an engine, in tokens.

    All hosts send requests with the same shared prefix to its home, so that
    it is most likely cached there even if this host has not sent any.
    """
    if homes and endpoint is homes[0]:
        return requirements.prefill_work(requirements.unshared_tokens)
    prefill_work = endpoint.uncached_prefill_work(requirements)
    if not is_copy_worthwhile(requirements, homes):
        return prefill_work
    if not _has_same_software(endpoint, homes[0]):
        return prefill_work
    cost_ratio = (
        _SECOND_HOME_COST_RATIO if endpoint in homes else _COPY_COST_RATIO
    )
    copy_cost_tokens = requirements.unshared_tokens + int(
        requirements.shared_prefix_tokens * cost_ratio
    )
    return min(prefill_work, requirements.prefill_work(copy_cost_tokens))


def _has_same_software(one: EndpointState, other: EndpointState) -> bool:
    # A KV cache is not assumed to be readable by another version.
    return one.instance.software_version == other.instance.software_version
