"""Failures of order records."""

from __future__ import annotations

import threading
from typing import Any

import pytest
from entry.fakes import LOST, PATIENCE_S, START, FakeControl, wait_until

from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.errors import (
    OrderAnswerLostError,
    OrderConflictError,
    OrderInProgressError,
    OrderNotRecordedError,
    OrderUnknownError,
)
from apricotcart.entry.orders import OrderAttempt, OrderLedger
from apricotcart.errors.tree import MAY_HAVE_RUN, NOT_RUN, ApricotcartError
from apricotcart.web.response import WebResponse


def _ledger(control: FakeControl) -> OrderLedger:
    return OrderLedger(ControlLink({'c1': control}), 'e1', 1)


@pytest.mark.parametrize(
    ('fields', 'failure', 'run_state'),
    [
        ({'outcome': 'in_progress'}, OrderInProgressError, MAY_HAVE_RUN),
        ({'outcome': 'unknown'}, OrderUnknownError, MAY_HAVE_RUN),
        ({'outcome': 'conflict'}, OrderConflictError, NOT_RUN),
        (
            {'outcome': 'finished', 'body_kept': False},
            OrderAnswerLostError,
            MAY_HAVE_RUN,
        ),
        (
            {'ok': False, 'code': 'order_records_full'},
            OrderNotRecordedError,
            NOT_RUN,
        ),
    ],
)
def test_begin_refusals(
    fields: dict[str, Any],
    failure: type[ApricotcartError],
    run_state: str,
) -> None:
    """Guards against a second attempt that may send."""
    ledger = _ledger(FakeControl({'ok': True, **fields}))
    with pytest.raises(failure) as caught:
        ledger.begin(OrderAttempt('guild', 'k'), b'', '')
    assert caught.value.run_state == run_state


def test_begin_answer_lost_keeps_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a repeated record that looks like another attempt."""
    control = FakeControl(LOST, START)
    attempt = OrderAttempt('guild', 'k')
    assert _ledger(control).begin(attempt, b'', '') is None
    first, second = control.commands('order_begin')
    assert first == second


def test_closing_in_flight_counts_as_unsent() -> None:
    """Guards against a planned stop that loses the closing being sent."""
    control = FakeControl({'ok': True})
    arrived = threading.Event()
    go_on = threading.Event()

    def hold(message: Any) -> None:
        arrived.set()
        go_on.wait(PATIENCE_S)

    control.on_call = hold
    ledger = _ledger(control)
    ledger.finish_later(OrderAttempt('guild', 'k'), 'unknown')
    assert arrived.wait(PATIENCE_S)
    assert ledger.unsent == 1
    go_on.set()
    wait_until(lambda: not ledger.unsent)


def test_large_answer_is_cut_for_the_record() -> None:
    """Guards against an answer that fills the replicated log."""
    control = FakeControl({'ok': True})
    response = WebResponse.from_bytes(b'x' * 100_000, 'text/plain')
    _ledger(control).finish(OrderAttempt('guild', 'k'), response, '')
    assert len(control.commands('order_finish')[0]['body']) == 65_537
