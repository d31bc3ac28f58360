"""Guards against usage windows that are missed or closed early or twice."""

from __future__ import annotations

from apricotcart.coordinator.usage_plan import SETTLE_DELAY_S, windows_to_close

_WINDOW_S = 5


def _due(unix_s: float, *closed: int, first: int = 0) -> list[int]:
    return list(windows_to_close(unix_s, _WINDOW_S, set(closed), first))


def test_window_is_closed_after_the_settle_delay() -> None:
    end = 11 * _WINDOW_S
    assert 10 not in _due(end + SETTLE_DELAY_S - 0.1)
    assert 10 in _due(end + SETTLE_DELAY_S)


def test_closed_window_is_not_closed_again() -> None:
    assert 10 not in _due(11 * _WINDOW_S + SETTLE_DELAY_S, 10)


def test_window_is_closed_before_it_is_late() -> None:
    """Reports are due after 10 s; two duty rounds of 0.4 s must fit in."""
    assert SETTLE_DELAY_S < 10 - 2 * 0.4


def test_new_leader_closes_the_remaining_windows() -> None:
    assert _due(11 * _WINDOW_S + SETTLE_DELAY_S, 7, first=8) == [8, 9, 10]
