"""Guards against hosts that together overload brittle endpoints."""

from __future__ import annotations

from statistics import fmean

import pytest
from policy.brittle_fleet import CONTACT_S, BrittleFleet
from policy.gateway_fleet import RequestKind

from apricotcart.desired.records import Engine

_UNTIL_S = 10.0
_STEP_S = 0.2
_OVERLOAD = 2.0
# Requests of two seconds, with the way to the endpoint and the prefill.
_OUTPUT_TOKENS = 500
_TOKENS_PER_S = 250
_FIRST_TOKEN_S = 0.012
_KV_TOKENS = 520_000
_ENGINES = 8
_SLOTS = 24
# What slots are not in use: a slot is idle for the way of a response and a tick
# of the queue, 0.06 s of each 2 s, and the hosts have different numbers of
# places, so that those with many have no request at hand at times.
_MIN_USED_RATIO = 0.95
# At 60 hosts each has 3 places. If they shared nothing, Erlang's formula would
# have each lose over a quarter of 2.9 requests at a time; with what they borrow
# from each other, less than a fifth is to be lost.
_MIN_SHARED_RATIO = 0.8


class _Setup:
    """A fleet at a multiple of its capacity, after its run.

    Attributes
    ----------
    used_ratio : float
        Mean ratio of slots in use, from the contact time on.
    """

    def __init__(
        self,
        hosts: int,
        rejections_per_s: int,
        *,
        load: float = _OVERLOAD,
        is_plain: bool = False,
        names_it: bool = True,
        seed: int = 1,
    ) -> None:
        service_s = _FIRST_TOKEN_S + _OUTPUT_TOKENS / _TOKENS_PER_S
        capacity_per_s = _ENGINES * _SLOTS / service_s
        engine = Engine(slots=_SLOTS, kv_tokens=_KV_TOKENS)
        self.fleet = BrittleFleet(
            hosts=hosts,
            engines=_ENGINES,
            slots=_SLOTS,
            kind=RequestKind(
                name='answer',
                rate_per_s=load * capacity_per_s,
                shared_tokens=100,
                own_tokens=100,
                output_tokens=_OUTPUT_TOKENS,
                # The highest level: no slot is reserved for others.
                level=2,
                target_s=2,
            ),
            rejections_per_s=rejections_per_s,
            capacities={} if is_plain else {'lm': engine},
            names_it=names_it,
            seed=seed,
        )
        self.fleet.run(CONTACT_S)
        used = []
        while self.fleet.now < _UNTIL_S:
            self.fleet.run(self.fleet.now + _STEP_S)
            used.append(self.fleet.busy_ratio())
        self.used_ratio = fmean(used)


@pytest.mark.parametrize(
    ('rejections', 'is_plain'),
    [(1, False), (1, True), (2, False), (5, True), (20, False), (20, True)],
)
@pytest.mark.parametrize('hosts', [6, 60])
def test_overload_does_not_make_brittle_endpoints_fall_over(
    hosts: int, rejections: int, *, is_plain: bool
) -> None:
    setup = _Setup(hosts, rejections, is_plain=is_plain)
    assert setup.fleet.most_rejected() <= rejections
    assert not setup.fleet.falls
    assert setup.used_ratio >= _MIN_USED_RATIO


def test_stand_ins_fall_over_while_nothing_is_known() -> None:
    """Guards against a stand-in that stands any load."""
    setup = _Setup(6, 20, is_plain=True, names_it=False)
    assert setup.fleet.falls > 2 + _ENGINES / 10


@pytest.mark.parametrize('load', [0.2, 0.6, 0.9])
@pytest.mark.parametrize('hosts', [6, 60])
def test_service_below_its_capacity_is_not_given_away(
    hosts: int, load: float
) -> None:
    """Guards against slots that are kept free for hosts without requests."""
    setup = _Setup(hosts, 5, load=load, is_plain=True)
    assert setup.fleet.falls <= 2 + _ENGINES / 10
    assert setup.used_ratio >= _MIN_SHARED_RATIO * load
