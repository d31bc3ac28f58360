"""Guards against hosts that together exceed the limit of an endpoint."""

from __future__ import annotations

import math
from itertools import repeat

import pytest

from apricotcart.gateway.dispatching.rate_share import (
    MIN_RATE_PER_S,
    PERIOD_S,
    RateShare,
)

# What an endpoint may get in a window of 4 s: 1.5 times its limit, and 5.
_WINDOW_S = 4
_RATIO = 1.5
_EXTRA = 5
_START = 1_764_900_000
_SECONDS = 300
_MAX_CHECKED = 75


def _sent(limit: float, shares: list[RateShare]) -> list[int]:
    """Return the requests by second of hosts that use all they may."""
    return [
        sum(
            share.granted('i-1', limit, share.period(_START + second))
            for share in shares
        )
        for second in range(_SECONDS)
    ]


def _most_in_window(sent: list[int]) -> int:
    # A window of 4 s that begins within a period touches five of them.
    periods = round(_WINDOW_S / PERIOD_S) + 1
    return max(
        sum(sent[start : start + periods])
        for start in range(len(sent) - periods)
    )


def _hosts(count: int, total: int | None = None) -> list[RateShare]:
    return [RateShare(rank, total or count) for rank in range(count)]


@pytest.mark.parametrize('hosts', [1, 6, 75, 340])
@pytest.mark.parametrize('limit', [0.3, 0.5, 1, 1.7, 10, 100, 1000])
def test_hosts_together_use_the_limit_and_no_more(
    hosts: int, limit: float
) -> None:
    sent = _sent(limit, _hosts(hosts))
    assert sum(sent) == pytest.approx(limit * _SECONDS, abs=1)
    assert _most_in_window(sent) <= _RATIO * _WINDOW_S * limit + _EXTRA


@pytest.mark.parametrize('hosts', [6, 75, 340])
def test_requests_are_shared_evenly_over_time(hosts: int) -> None:
    """Guards against hosts whose callers are refused all the time."""
    # All hosts of a small deployment, some of a large one.
    shares = _hosts(hosts)[:: math.ceil(hosts / _MAX_CHECKED)]
    used = [
        sum(
            share.granted('i-1', 1, _START + second)
            for second in range(100 * hosts)
        )
        for share in shares
    ]
    assert min(used) > 50
    assert max(used) < 200


def test_limit_of_zero_still_lets_a_request_ask_whether_it_has_ended() -> None:
    sent = _sent(0, _hosts(75))
    assert sum(sent) == pytest.approx(MIN_RATE_PER_S * _SECONDS, abs=1)
    assert _most_in_window(sent) <= _EXTRA


@pytest.mark.parametrize(('before', 'after'), [(6, 3), (75, 50), (340, 170)])
def test_hosts_cut_off_from_the_leader_do_not_break_the_limit(
    before: int, after: int
) -> None:
    """Those in touch divide it anew, the others keep their share."""
    old = _hosts(before)[after:]
    sent = _sent(1, [*_hosts(after), *old])
    assert _most_in_window(sent) <= _RATIO * _WINDOW_S + _EXTRA


def test_clocks_that_differ_do_not_break_the_limit() -> None:
    """Hosts follow the clock of the leader by a tenth of a second."""
    arrivals: list[float] = []
    for rank in range(6):
        skew_s = rank / 25 - 0.1
        share = RateShare(rank, 6)
        for second in range(_SECONDS):
            granted = share.granted('i-1', 10, _START + second)
            arrivals.extend(repeat(second - skew_s, granted))
    arrivals.sort()
    most = max(
        sum(start <= at < start + _WINDOW_S for at in arrivals)
        for start in arrivals
    )
    assert most <= _RATIO * _WINDOW_S * 10 + _EXTRA


def test_period_follows_the_clock_of_the_leader() -> None:
    assert RateShare(0, 1, 100.5).period(9.4) == 109
    assert RateShare(0, 1, 100.5).period(9.6) == 110
