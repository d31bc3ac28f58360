"""Guards against gateways that all choose the same one, or one that fails."""

from __future__ import annotations

from collections import Counter

from apricotcart.gateway.relay.choice import AVOID_S, PeerChoice
from apricotcart.membership.peers import PeerDirectory, PeerGateway


def _peer(host: str, zone: str = 'b', requests: int = 0) -> PeerGateway:
    return PeerGateway(
        host=host, zone=zone, address=f'{host}:1', requests=requests
    )


def _choice(*peers: PeerGateway) -> PeerChoice:
    directory = PeerDirectory()
    directory.replace(peers)
    return PeerChoice(directory, 'a')


def _chosen(choice: PeerChoice, *tried: str, now: float = 0) -> str:
    peer = choice.acquire(tried, now)
    return '' if peer is None else peer.host


def test_requests_spread_over_all_gateways() -> None:
    choice = _choice(*(_peer(f'g{number}') for number in range(5)))
    counts = Counter(_chosen(choice) for _ in range(500))
    assert len(counts) == 5
    assert max(counts.values()) < 120


def test_busier_gateway_gets_fewer_requests() -> None:
    choice = _choice(_peer('g1', requests=50), _peer('g2'))
    assert {_chosen(choice) for _ in range(40)} == {'g2'}


def test_same_zone_is_preferred_at_equal_load() -> None:
    choice = _choice(_peer('g1'), _peer('g2', zone='a'))
    assert _chosen(choice) == 'g2'
    assert _chosen(choice) == 'g1'


def test_failed_gateway_is_avoided_for_a_while() -> None:
    choice = _choice(_peer('g1'), _peer('g2', requests=100))
    choice.avoid('g1', 0)
    assert _chosen(choice, now=AVOID_S / 2) == 'g2'
    assert _chosen(choice, now=AVOID_S) == 'g1'


def test_only_gateway_is_tried_once_although_it_failed() -> None:
    choice = _choice(_peer('g1'))
    choice.avoid('g1', 0)
    assert _chosen(choice) == 'g1'
    assert not _chosen(choice, 'g1')


def test_released_requests_are_not_counted() -> None:
    choice = _choice(_peer('g1'))
    for _ in range(3):
        _chosen(choice)
        choice.release('g1')
    assert not choice.running()
