"""Tests of placements and releases within the spot bounds."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from apricotcart.provisioning.backoff import KeyedBackoff
from apricotcart.provisioning.placement import Place, Placement, SpotRule

PRICES = {zone: {'regular': 1.0, 'cheap': 0.3} for zone in 'abcd'}


@pytest.fixture
def backoff() -> KeyedBackoff:
    """Return a back-off without failures."""
    return KeyedBackoff(10, 10, random.Random(1))


@pytest.fixture
def placement(backoff: KeyedBackoff) -> Placement:
    """Return a placement with the default bounds."""
    return Placement(SpotRule(), backoff)


def _endpoints(places: Counter[Place]) -> list[dict[str, object]]:
    return [
        {'name': f'e{n}', 'zone': zone, 'cheap': cheap, 'state': 'running'}
        for n, (zone, cheap) in enumerate(places.elements())
    ]


def test_placement_bounds(placement: Placement) -> None:
    """Guards against more spot endpoints in a zone than its bound."""
    chosen = placement.choose(0, [], PRICES, 20, 20)
    assert chosen.total() == 20
    assert sum(chosen[zone, True] for zone in 'abcd') == 12
    assert max(chosen[zone, True] for zone in 'abcd') <= 4


def test_placement_without_capacity(
    placement: Placement, backoff: KeyedBackoff
) -> None:
    """Guards against orders for a place that has no capacity."""
    backoff.record_failure(0, ('a', True))
    assert not placement.choose(1, [], PRICES, 20, 20)['a', True]
    assert placement.choose(10, [], PRICES, 20, 20)['a', True]


def test_placement_release_keeps_bounds(placement: Placement) -> None:
    """Guards against releases that leave a zone above its bound."""
    present = placement.choose(0, [], PRICES, 40, 40)
    endpoints = _endpoints(present)
    released = placement.choose_releases(endpoints, PRICES, 10)
    for endpoint in released:
        present[str(endpoint['zone']), bool(endpoint['cheap'])] -= 1
    assert present.total() == 10
    assert sum(present[zone, True] for zone in 'abcd') == 6
    assert max(present[zone, True] for zone in 'abcd') <= 2


def test_placement_releases_starting_first(placement: Placement) -> None:
    """Guards against releasing a running endpoint before a starting one."""
    endpoints = _endpoints(Counter({('a', False): 2, ('b', True): 1}))
    endpoints[2]['state'] = 'starting'
    released = placement.choose_releases(endpoints, PRICES, 2)
    assert [endpoint['name'] for endpoint in released] == ['e2']
