"""Guards against endpoints that win more draws than others."""

from __future__ import annotations

import random
from collections import Counter

from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.endpoint_state import EndpointRow
from apricotcart.gateway.prefix_homes import homes_of

_ENGINES = 20
_PARTS = 2000


def _row(name: str) -> EndpointRow:
    instance = Instance(
        instance_id=name,
        service='lm',
        address='10.0.0.1:80',
        zone='a',
        slots=8,
        is_ready=True,
    )
    return EndpointRow(instance)


def test_home_of_parts_are_spread_evenly() -> None:
    """Guards against an engine that is the home of most shared parts.

    Seen on csft-sealdesk-grown, quiet-1: requests left their home since it
    was full, and a part was hardly ever read twice at the same engine.
    """
    rng = random.Random(7)
    rows = [_row(f'i-{rng.getrandbits(40):010x}') for _ in range(_ENGINES)]
    homes: Counter[str] = Counter()
    for _ in range(_PARTS):
        home = homes_of(f'{rng.getrandbits(48):012x}', rows)[0]
        homes[home.instance.instance_id] += 1
    assert max(homes.values()) <= 1.5 * _PARTS / _ENGINES
