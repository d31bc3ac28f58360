"""Guards against failures that count for too long, or for too much."""

from __future__ import annotations

from apricotcart.endpoints.recent_outcomes import (
    OutcomeCounts,
    RecentOutcomes,
)


def test_series_of_failures_counts_more_than_one() -> None:
    assert OutcomeCounts(0, 1).failure_ratio < OutcomeCounts(0, 8).failure_ratio
    assert (
        OutcomeCounts(50, 1).failure_ratio < OutcomeCounts(0, 1).failure_ratio
    )
    assert not OutcomeCounts().failure_ratio


def test_outcomes_of_several_hosts_add_up() -> None:
    total = OutcomeCounts(2, 1) + OutcomeCounts(4, 3)
    assert total.to_wire() == [6, 4]


def test_old_outcomes_do_not_count() -> None:
    window = RecentOutcomes()
    for now in (101.0, 104.9, 105.0):
        window.add(now, is_success=False)
    window.add(105.1, is_success=True)
    assert window.local(106).to_wire() == [1, 3]
    assert window.local(110.1).to_wire() == [1, 1]
    assert window.local(116).to_wire() == [0, 0]
    window.add(300, is_success=True)
    assert window.local(300).to_wire() == [1, 0]


def test_forgotten_failures_leave_the_successes() -> None:
    window = RecentOutcomes()
    window.add(104, is_success=True)
    window.add(104, is_success=False)
    window.add(106, is_success=False)
    window.forget_failures()
    assert window.local(106).to_wire() == [1, 0]
