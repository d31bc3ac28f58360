"""Guards against an uneven distribution of home endpoints."""

from __future__ import annotations

import random
from collections import Counter

from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.endpoint_state import EndpointState
from apricotcart.gateway.prefix_homes import find_homes

_ENGINES = 20
_PREFIXES = 2000


def _endpoint(name: str) -> EndpointState:
    instance = Instance(
        instance_id=name,
        service='lm',
        address='10.0.0.1:80',
        zone='a',
        slots=8,
        is_ready=True,
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
