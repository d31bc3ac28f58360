"""Tests of usage reports under leader changes and lost answers."""

from __future__ import annotations

import pytest
from platform_world import UncommittedUsage, World

CUSTOMERS = ('a', 'b', 'c')


def _add_usage(world: World, window: int) -> None:
    for number, customer in enumerate(CUSTOMERS, start=1):
        world.state.add_usage(window, customer, number)


def _change_leader(world: World) -> None:
    world.hosts[0].is_cut = True
    world.elect(world.hosts[1])


def _run_until_reported(world: World) -> None:
    for _ in range(1000):
        world.step()
        if world.platform.usage.records:
            return
    raise AssertionError('no usage was reported within 1000 steps')


def _assert_reported_once(world: World) -> None:
    figures = {
        (record['window'], record['customer'], record['calls'])
        for record in world.platform.usage.records
    }
    expected = {
        (window, customer, calls)
        for window, by_customer in world.state.closed.items()
        for customer, calls in by_customer.items()
    }
    assert expected
    assert figures == expected
    assert len(world.state.reported) == len(expected)


def test_reporter_reports_closed_windows() -> None:
    """Guards against reports that differ from the committed figures."""
    world = World(1)
    world.elect(world.hosts[0])
    for window in range(3):
        _add_usage(world, window)
        world.run(5)
    world.run(10)
    _assert_reported_once(world)
    assert len(world.platform.usage.records) == 9


def test_reporter_lost_answers() -> None:
    """Guards against reporting other figures after a lost answer."""
    world = World(1)
    world.answer_loss = 0.6
    world.elect(world.hosts[0])
    _add_usage(world, 0)
    world.run(60)
    _assert_reported_once(world)
    assert len(world.platform.usage.records) > 3
    assert not world.usage_conflicts()


def test_reporter_change_after_close() -> None:
    """Guards against late figures in a window the predecessor closed."""
    world = World(1)
    world.elect(world.hosts[0])
    _add_usage(world, 0)
    while not world.state.closed:
        world.step()
    _change_leader(world)
    _add_usage(world, 0)
    world.run(20)
    _assert_reported_once(world)
    assert not world.usage_conflicts()


@pytest.mark.parametrize('naive', [False, True])
def test_reporter_change_before_mark(naive: bool) -> None:
    """Guards against conflicting reports when the mark is lost.

    The leader fails before the mark is committed. The naive variant reports
    windows that were not closed by a commit.
    """
    world = World(1, state=UncommittedUsage() if naive else None)
    world.elect(world.hosts[0])
    _add_usage(world, 0)
    _run_until_reported(world)
    _change_leader(world)
    _add_usage(world, 0)
    world.run(20)
    assert bool(world.usage_conflicts()) == naive
    if not naive:
        _assert_reported_once(world)


def test_reporter_platform_refuses() -> None:
    """Guards against reports in rapid succession to a refusing platform."""
    world = World(1)
    world.answer_loss = 1
    world.elect(world.hosts[0])
    world.state.add_usage(0, 'a', 1)
    world.run(60)
    # The back-off grows to 5 s, and each delay is at least half of that.
    assert len(world.platform.usage.records) < 30
    assert not world.state.reported
