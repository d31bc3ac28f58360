"""Guards against second attempts that cost more than they gain."""

from __future__ import annotations

import pytest
from policy.hedged_fleet import HedgedFleet, MovingQuantile, Never

_SHARE = 0.02


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_slowest_answers_come_sooner_within_the_share(seed: int) -> None:
    plain = HedgedFleet(Never(), seed)
    plain.run(400, 60)
    hedged = HedgedFleet(MovingQuantile(_SHARE), seed)
    hedged.run(400, 60)
    assert hedged.quantile_s(0.99) < plain.quantile_s(0.99)
    # A late request is one of the longest, each with at most its whole work.
    assert hedged.second_attempts <= _SHARE * len(hedged.times_s) + 1


def test_overload_gets_no_second_attempts(seed: int = 1) -> None:
    hedged = HedgedFleet(MovingQuantile(_SHARE), seed)
    hedged.run(1600, 20)
    assert hedged.second_attempts <= _SHARE * len(hedged.times_s) / 4
