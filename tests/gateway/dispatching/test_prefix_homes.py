"""Guards against an uneven distribution of home endpoints."""

from __future__ import annotations

import random
from collections import Counter

from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.api import PromptPart
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    Requirements,
)
from apricotcart.gateway.dispatching.prefix_homes import (
    estimate_prefill_work,
    find_copy_source,
    find_homes,
)

_ENGINES = 20
_PREFIXES = 2000


def _endpoint(name: str, software_version: str = 'v1') -> EndpointState:
    instance = Instance(
        instance_id=name,
        service='lm',
        address='10.0.0.1:80',
        zone='a',
        slots=8,
        is_ready=True,
        software_version=software_version,
    )
    return EndpointState(instance)


def test_homes_of_prefixes_are_distributed_evenly() -> None:
    """Guards against an engine that is the home of most shared prefixes.

    Seen on csft-sealdesk-grown, quiet-1: the home was full, its requests
    were sent elsewhere, and prefixes were rarely reused at any engine.
    """
    rng = random.Random(7)
    endpoints = [
        _endpoint(f'i-{rng.getrandbits(40):010x}') for _ in range(_ENGINES)
    ]
    home_counts: Counter[str] = Counter()
    for _ in range(_PREFIXES):
        home = find_homes(f'{rng.getrandbits(48):012x}', endpoints)[0]
        home_counts[home.instance.instance_id] += 1
    assert max(home_counts.values()) <= 1.5 * _PREFIXES / _ENGINES


def test_cache_is_not_copied_from_another_version() -> None:
    """A version is not known to read what another one has written."""
    requirements = Requirements(
        service='lm',
        prompt_tokens=3000,
        parts=[
            PromptPart(part_id='shared', tokens=2000),
            PromptPart(part_id='own', tokens=1000),
        ],
    )
    chosen = _endpoint('i-0', 'v2')
    others = [_endpoint(f'i-{number}', 'v1') for number in range(1, 5)]
    now = 1000.0
    assert find_copy_source(chosen, requirements, now, others) is None
    same = _endpoint('i-9', 'v2')
    assert find_copy_source(chosen, requirements, now, [*others, same]) is same
    homes = [others[0]]
    cost = estimate_prefill_work(chosen, requirements, homes)
    assert cost == chosen.uncached_prefill_work(requirements)
