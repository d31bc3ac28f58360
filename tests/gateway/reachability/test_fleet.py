"""Guards against gateways that learn of a cut late or believe a false one."""

from __future__ import annotations

import pytest
from gateway.reachability.simulated_fleet import SimulatedFleet
from hypothesis import given, settings
from hypothesis import strategies as st

from apricotcart.gateway.reachability.api import Reach

# Time within which a gateway must know that it is cut off.
_KNOWN_S = 2.5
_SEEDS = range(6)


def _fleet(seed: int, rate: float, **sizes: int) -> SimulatedFleet:
    """Return a fleet that has run for a while."""
    fleet = SimulatedFleet(rate=rate, seed=seed, **sizes)
    fleet.run(4 + fleet.rng.random())
    assert not fleet.believed(Reach.SUSPECT)
    return fleet


def _assert_known(fleet: SimulatedFleet, cut: int, how: str) -> None:
    """Cut some gateways off, and then let them return."""
    gateways = fleet.gateways[:cut]
    began_at = fleet.now
    fleet.cut(gateways, how)
    fleet.run(_KNOWN_S)
    for gateway in gateways:
        assert fleet.first_belief(gateway, Reach.CUT_OFF, began_at)
        assert gateway.reach() is Reach.CUT_OFF
    assert len(fleet.believed(Reach.CUT_OFF)) == cut


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('how', ['silent', 'refused'])
@pytest.mark.parametrize('rate', [0, 0.3, 10])
def test_cut_is_known_in_time(seed: int, how: str, rate: float) -> None:
    _assert_known(_fleet(seed, rate), 2, how)


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('how', ['silent', 'refused'])
def test_cut_of_most_gateways_is_known(seed: int, how: str) -> None:
    """Guards against a majority that tells the leader nothing."""
    _assert_known(_fleet(seed, 0), 6, how)


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize(('endpoints', 'gateways'), [(1, 2), (3, 3), (60, 20)])
def test_cut_is_known_in_fleets_of_all_sizes(
    seed: int, endpoints: int, gateways: int
) -> None:
    fleet = _fleet(seed, 0, endpoints=endpoints, gateways=gateways)
    _assert_known(fleet, gateways // 2, 'silent')


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('rate', [0, 10])
def test_cut_is_known_without_a_leader(seed: int, rate: float) -> None:
    fleet = _fleet(seed, rate)
    fleet.has_leader = False
    _assert_known(fleet, 2, 'silent')


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('how', ['silent', 'refused'])
def test_cut_that_spares_open_connections_is_known(seed: int, how: str) -> None:
    """A request that needs a new connection reveals it."""
    fleet = _fleet(seed, 10)
    gateway = fleet.gateways[0]
    fleet.network.keeps_open.add(gateway.name)
    fleet.cut([gateway], how)
    fleet.run(1)
    began_at = fleet.now
    gateway.forget_connections()
    fleet.run(_KNOWN_S)
    assert fleet.first_belief(gateway, Reach.CUT_OFF, began_at - 1)
    assert fleet.believed(Reach.CUT_OFF) == [gateway.name]


@pytest.mark.parametrize('seed', _SEEDS)
def test_cut_that_spares_an_endpoint_is_known(seed: int) -> None:
    fleet = _fleet(seed, 10)
    fleet.network.spared = {fleet.listed[3]}
    _assert_known(fleet, 2, 'refused')


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('rate', [0, 10])
def test_gateway_that_returns_is_listed_when_it_is_steady(
    seed: int, rate: float
) -> None:
    fleet = _fleet(seed, rate)
    _assert_known(fleet, 2, 'silent')
    names = {gateway.name for gateway in fleet.gateways[:2]}
    fleet.run(0.5)
    assert not names & fleet.serving()
    for gateway in fleet.gateways[:2]:
        peers = {peer.host for peer in gateway.peers.peers()}
        assert peers
        assert not peers & names
    fleet.network.cuts.clear()
    fleet.run(2)
    assert all(
        gateway.reach() is Reach.REACHED for gateway in fleet.gateways[:2]
    )
    assert not names & fleet.serving()
    fleet.run(2.5)
    assert names <= fleet.serving()


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('how', ['silent', 'refused'])
@pytest.mark.parametrize('rate', [0, 10])
def test_cut_of_all_gateways_is_no_cut(
    seed: int, how: str, rate: float
) -> None:
    """Guards against passing requests on to gateways that cannot help."""
    fleet = _fleet(seed, rate)
    fleet.cut(fleet.gateways, how)
    fleet.run(6)
    assert not fleet.believed(Reach.CUT_OFF)
    assert all(gateway.reach() is Reach.SUSPECT for gateway in fleet.gateways)
    assert len(fleet.serving()) == len(fleet.gateways)
    fleet.network.cuts.clear()
    fleet.run(3)
    assert not fleet.believed(Reach.CUT_OFF)
    assert all(gateway.reach() is Reach.REACHED for gateway in fleet.gateways)


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('share', [0.3, 0.5, 0.75])
@pytest.mark.parametrize('rate', [0, 10])
def test_crash_of_a_part_of_the_endpoints_is_no_cut(
    seed: int, share: float, rate: float
) -> None:
    fleet = _fleet(seed, rate, endpoints=20)
    count = round(share * len(fleet.listed))
    fleet.network.crashed = set(fleet.rng.sample(fleet.listed, count))
    fleet.run(6)
    assert not fleet.believed(Reach.CUT_OFF)


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('rate', [0, 10])
def test_endpoints_that_are_silent_for_a_second_are_no_cut(
    seed: int, rate: float
) -> None:
    fleet = _fleet(seed, rate)
    fleet.network.silent = set(fleet.rng.sample(fleet.listed, 6))
    fleet.run(1)
    fleet.network.silent.clear()
    fleet.run(3)
    assert not fleet.believed(Reach.CUT_OFF)


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('pause_s', [0.7, 1.2, 4])
def test_process_that_stood_still_is_not_cut_off(
    seed: int, pause_s: float
) -> None:
    fleet = _fleet(seed, 2)
    for gateway in fleet.gateways[:3]:
        gateway.is_paused = True
    fleet.run(pause_s)
    for gateway in fleet.gateways[:3]:
        gateway.is_paused = False
    fleet.run(3)
    assert not fleet.believed(Reach.CUT_OFF)


@pytest.mark.parametrize(('rate', 'limit'), [(0, 1.15), (10, 0.05)])
def test_steady_fleet_hardly_probes(rate: float, limit: float) -> None:
    fleet = _fleet(1, rate)
    fleet.run(10)
    duration_s = fleet.now - fleet.started_at
    for gateway in fleet.gateways:
        per_second = len(gateway.probes) / duration_s
        assert per_second <= limit


@settings(max_examples=30, deadline=None)
@given(
    seed=st.integers(0, 1_000_000),
    crashed=st.integers(0, 10),
    silent=st.integers(0, 10),
    rate=st.sampled_from([0, 0.5, 10]),
)
def test_endpoints_alone_never_cut_a_gateway_off(
    seed: int, crashed: int, silent: int, rate: float
) -> None:
    """At least half of the endpoints stay up; no gateway loses its path."""
    fleet = SimulatedFleet(rate=rate, seed=seed, gateways=4, endpoints=40)
    fleet.run(3)
    failing = fleet.rng.sample(fleet.listed, crashed + silent)
    fleet.network.crashed = set(failing[:crashed])
    fleet.network.silent = set(failing[crashed:])
    fleet.run(4)
    assert not fleet.believed(Reach.CUT_OFF)


@settings(max_examples=30, deadline=None)
@given(
    seed=st.integers(0, 1_000_000),
    how=st.sampled_from(['silent', 'refused']),
    rate=st.sampled_from([0, 0.5, 10]),
    cut=st.integers(1, 4),
)
def test_every_cut_of_some_gateways_is_known(
    seed: int, how: str, rate: float, cut: int
) -> None:
    fleet = SimulatedFleet(rate=rate, seed=seed, gateways=5, endpoints=10)
    fleet.run(3)
    _assert_known(fleet, cut, how)
