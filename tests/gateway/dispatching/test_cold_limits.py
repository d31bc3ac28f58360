"""Guards against hosts that together send a cold endpoint too many requests."""

from __future__ import annotations

import random
from collections.abc import Sequence

import pytest

from apricotcart.desired.records import Service
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.api import EndpointNotice
from apricotcart.gateway.dispatching.cold_limits import ColdLimit, ColdLimits
from apricotcart.gateway.dispatching.endpoint_state import EndpointState
from apricotcart.gateway.dispatching.rate_share import RateShare

_START = 1_764_900_000.0
_STEP_S = 0.02
_SECONDS = 30
_PER_S = 13.0
_OVERSHOOT = 1.5
_TOLERANCE = 5.0
_MOST = _PER_S * _OVERSHOOT + _TOLERANCE
_SYNC_S = 0.3
_COLD_S = 100.0


def _limit(per_s: float = _PER_S, overshoot: float = _OVERSHOOT) -> ColdLimit:
    return ColdLimit.from_service(
        Service(
            name='lm',
            health_path='/h',
            max_conns=None,
            cold_s=3,
            cold_per_s=per_s,
        ),
        overshoot,
        _TOLERANCE,
    )


def _endpoint(warmup_s: float = _COLD_S) -> EndpointState:
    instance = Instance(
        instance_id='i-1',
        service='lm',
        address='10.0.0.1:80',
        zone='a',
        slots=24,
        is_ready=True,
        warmup_s=warmup_s,
    )
    return EndpointState(instance, listed_at=_START)


class Host:
    """One host that always has a request for the endpoint."""

    def __init__(self, rank: int, hosts: int, skew_s: float = 0) -> None:
        self.rank = rank
        self.hosts = hosts
        self.skew_s = skew_s
        self.in_touch_until: float = _START + _SECONDS
        self.starts_at = _START
        self.endpoint = _endpoint()
        self.limits = ColdLimits()
        self.limits.configure({'lm': _limit()})
        self.synced_at: float = 0

    def sent(self, now: float) -> int:
        if now < self.starts_at:
            return 0
        if self.synced_at + _SYNC_S <= now < self.in_touch_until:
            self.synced_at = now
            share = RateShare(self.rank, self.hosts, self.skew_s)
            self.limits.share.update(share, now)
        count = 0
        while self.limits.allows(self.endpoint, now):
            self.limits.count_request(self.endpoint, now)
            count += 1
        return count


def _arrivals(hosts: Sequence[Host], rng: random.Random) -> list[float]:
    times: list[float] = []
    for step in range(round(_SECONDS / _STEP_S)):
        now = _START + step * _STEP_S
        for host in hosts:
            times.extend(
                now + rng.uniform(0, 0.2) for _ in range(host.sent(now))
            )
    return sorted(times)


def _most_in_a_second(times: Sequence[float]) -> int:
    most = 0
    first = 0
    for last, time in enumerate(times):
        while times[first] < time - 1:
            first += 1
        most = max(most, last - first + 1)
    return most


def _fleet(count: int, rng: random.Random) -> list[Host]:
    return [Host(rank, count, rng.uniform(-0.1, 0.1)) for rank in range(count)]


@pytest.mark.parametrize('count', [1, 6, 60])
def test_hosts_together_keep_to_the_rate_in_each_second(count: int) -> None:
    rng = random.Random(1)
    times = _arrivals(_fleet(count, rng), rng)
    assert _most_in_a_second(times) <= _MOST
    assert len(times) / _SECONDS > 0.75 * _PER_S


@pytest.mark.parametrize('lost', [10, 30, 59])
def test_hosts_that_are_cut_off_add_little(lost: int) -> None:
    """The others take over their slots, of which they do not know."""
    rng = random.Random(2)
    hosts = _fleet(60, rng)
    for host in hosts[:lost]:
        host.in_touch_until = _START + 5
    times: list[float] = []
    for step in range(round(_SECONDS / _STEP_S)):
        now = _START + step * _STEP_S
        if now > _START + 8:
            for host in hosts[lost:]:
                host.rank = hosts.index(host) - lost
                host.hosts = 60 - lost
        for host in hosts:
            sent = host.sent(now)
            times.extend(now + rng.uniform(0, 0.2) for _ in range(sent))
    assert _most_in_a_second(sorted(times)) <= _MOST


def test_hosts_that_start_and_the_others_learn_at_different_times() -> None:
    rng = random.Random(3)
    hosts = _fleet(45, rng)
    for host in hosts:
        host.synced_at = _START - rng.uniform(0, _SYNC_S)
    for rank in range(15):
        host = Host(0, 1)
        host.starts_at = _START + 5 + rank / 10
        hosts.append(host)
    times: list[float] = []
    for step in range(round(_SECONDS / _STEP_S)):
        now = _START + step * _STEP_S
        known = [host for host in hosts if host.starts_at <= now - 0.1]
        for rank, host in enumerate(known):
            host.rank = rank
            host.hosts = len(known)
        for host in hosts:
            sent = host.sent(now)
            times.extend(now + rng.uniform(0, 0.2) for _ in range(sent))
    assert _most_in_a_second(sorted(times)) <= _MOST


def test_host_that_does_not_know_its_share_sends_nothing() -> None:
    limits = ColdLimits()
    limits.configure({'lm': _limit()})
    endpoint = _endpoint()
    assert not limits.allows(endpoint, _START)
    limits.share.update(RateShare(0, 1), _START)
    assert not limits.allows(endpoint, _START + 0.5)
    assert limits.allows(_endpoint(warmup_s=0), _START)


def test_rate_of_an_endpoint_that_withstands_hardly_more() -> None:
    assert _limit(2, 0).rate_per_s < 3
    assert _limit(100, 1).rate_per_s < 100
    assert _limit(_PER_S, 10).rate_per_s == pytest.approx(_PER_S)


def test_endpoint_is_cold_by_any_of_its_sources() -> None:
    limits = ColdLimits()
    limits.configure({'lm': _limit()})
    endpoint = _endpoint(warmup_s=0)
    assert not limits.is_limited(endpoint, _START)
    endpoint.notices.apply(EndpointNotice(cold_s=4), _START, _START)
    assert limits.is_limited(endpoint, _START + 3.9)
    assert not limits.is_limited(endpoint, _START + 4)
    endpoint.notices.apply(EndpointNotice(), _START + 1, _START + 1)
    assert limits.is_limited(endpoint, _START + 3.9)
    endpoint.notices.apply(EndpointNotice(cold_s=0), _START + 2, _START + 2)
    assert not limits.is_limited(endpoint, _START + 3.9)


def test_zone_that_was_taken_back_is_cold_until_an_endpoint_says_more() -> None:
    limits = ColdLimits()
    limits.configure({'lm': _limit()})
    endpoint = _endpoint(warmup_s=0)
    endpoint.notices.apply(EndpointNotice(cold_s=0), _START, _START)
    limits.suspected_zones = {'a': _START + 1}
    assert limits.is_limited(endpoint, _START + 2)
    endpoint.notices.apply(EndpointNotice(cold_s=0), _START + 2, _START + 2)
    assert not limits.is_limited(endpoint, _START + 2)
