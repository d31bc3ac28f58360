"""Tests of admission, tier order, shedding and dispatch."""

from __future__ import annotations

import pytest
from scheduling.conftest import MakeRequest, MakeScheduler

from apricotcart.scheduling.decisions import Decision, Dispatch, Shed


def dispatched(decisions: list[Decision]) -> list[str]:
    """Return the ids of the dispatched requests."""
    return [
        decision.request_id
        for decision in decisions
        if isinstance(decision, Dispatch)
    ]


def shed(decisions: list[Decision]) -> list[str]:
    """Return the ids of the shed requests."""
    return [
        decision.request_id
        for decision in decisions
        if isinstance(decision, Shed)
    ]


def test_scheduler_dispatches_at_once(
    make_scheduler: MakeScheduler, make_request: MakeRequest
) -> None:
    """Guards against a request that waits although a slot is free."""
    scheduler = make_scheduler()
    scheduler.submit(0, make_request('r1'))
    assert dispatched(scheduler.tick(0)) == ['r1']


def test_scheduler_tier_order(
    make_scheduler: MakeScheduler, make_request: MakeRequest
) -> None:
    """Guards against a lower tier that runs before a higher one."""
    scheduler = make_scheduler()
    scheduler.submit(0, make_request('l', class_name='low'))
    scheduler.submit(0, make_request('m', class_name='middle'))
    scheduler.submit(0, make_request('h'))
    assert dispatched(scheduler.tick(0)) == ['h']
    scheduler.on_finish(1, 'h', 'ok')
    assert dispatched(scheduler.tick(1)) == ['m']


def test_scheduler_full_queue_sheds_lowest(
    make_scheduler: MakeScheduler, make_request: MakeRequest
) -> None:
    """Guards against shedding a higher tier's request for a lower one's."""
    scheduler = make_scheduler(max_queue=2)
    scheduler.submit(0, make_request('busy'))
    scheduler.tick(0)
    scheduler.submit(0, make_request('l1', class_name='low'))
    scheduler.submit(0, make_request('l2', class_name='low'))
    scheduler.submit(0, make_request('h1'))
    scheduler.submit(0, make_request('h2'))
    scheduler.submit(0, make_request('l3', class_name='low'))
    assert shed(scheduler.tick(0)) == ['l2', 'l1', 'l3']


@pytest.mark.parametrize(
    ('outcome', 'run_state'),
    [('unreachable', 'not_run'), ('crashed', 'may_have_run')],
)
def test_scheduler_shed_of_retry_reports_run_state(
    make_scheduler: MakeScheduler,
    make_request: MakeRequest,
    outcome: str,
    run_state: str,
) -> None:
    """Guards against `not_run` after an attempt that reached an endpoint."""
    scheduler = make_scheduler()
    scheduler.submit(0, make_request('r'))
    scheduler.tick(0)
    scheduler.on_finish(1, 'r', outcome)
    scheduler.submit(1, make_request('r', deadline_at=1))
    decisions = scheduler.tick(1)
    assert isinstance(decisions[0], Shed)
    assert decisions[0].run_state == run_state


def test_scheduler_reserve_ends_with_time(
    make_scheduler: MakeScheduler, make_request: MakeRequest
) -> None:
    """Guards against a low-tier request that waits for an event forever.

    A slot is reserved for higher tiers only while their arrival rate is high
    enough. The rate falls with time, without any event.
    """
    scheduler = make_scheduler(slots=4)
    for number in range(3):
        scheduler.submit(0, make_request(f'h{number}'))
    scheduler.submit(0, make_request('l', class_name='low'))
    assert dispatched(scheduler.tick(0)) == ['h0', 'h1', 'h2']
    assert dispatched(scheduler.tick(25)) == ['l']


def test_scheduler_ignores_repeated_submit(
    make_scheduler: MakeScheduler, make_request: MakeRequest
) -> None:
    """Guards against a request that is queued twice."""
    scheduler = make_scheduler(slots=2)
    scheduler.submit(0, make_request('r'))
    scheduler.submit(0, make_request('r'))
    assert dispatched(scheduler.tick(0)) == ['r']
    scheduler.submit(0, make_request('r'))
    assert not scheduler.tick(0)


def test_scheduler_max_wait(
    make_scheduler: MakeScheduler, make_request: MakeRequest
) -> None:
    """Guards against a wait beyond the queue timeout of the class."""
    scheduler = make_scheduler()
    scheduler.submit(0, make_request('busy'))
    scheduler.submit(0, make_request('waits'))
    scheduler.tick(0)
    decisions = scheduler.tick(20)
    assert shed(decisions) == ['waits']
    assert isinstance(decisions[0], Shed)
    assert decisions[0].retry_after_s >= 1
