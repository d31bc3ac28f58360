"""Tests of order records with failures."""

from __future__ import annotations

import threading
from typing import Any

import pytest
from entry.fakes import LOST, START, TEST_TIMEOUT_S, FakeControl, wait_until

from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.errors import (
    OrderAnswerLostError,
    OrderConflictError,
    OrderInProgressError,
    OrderNotRecordedError,
    OrderUnknownError,
)
from apricotcart.entry.orders import OrderAttempt, OrderRecorder
from apricotcart.errors.tree import MAY_HAVE_RUN, NOT_RUN, ApricotcartError
from apricotcart.web.response import WebResponse


def _recorder(control: FakeControl) -> OrderRecorder:
    return OrderRecorder(ControlLink({'c1': control}), 'e1', 1)


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
    """Guards against a second attempt that is allowed to send."""
    recorder = _recorder(FakeControl({'ok': True, **fields}))
    with pytest.raises(failure) as caught:
        recorder.begin(OrderAttempt('guild', 'k'), b'', '')
    assert caught.value.run_state == run_state


def test_begin_resend_keeps_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a resent record that looks like another attempt."""
    control = FakeControl(LOST, START)
    attempt = OrderAttempt('guild', 'k')
    assert _recorder(control).begin(attempt, b'', '') is None
    first, second = control.commands('order_begin')
    assert first == second


def test_command_in_flight_is_unacknowledged() -> None:
    """Guards against a planned stop that loses a command in flight."""
    control = FakeControl({'ok': True})
    arrived = threading.Event()
    released = threading.Event()

    def hold(message: Any) -> None:
        arrived.set()
        released.wait(TEST_TIMEOUT_S)

    control.on_call = hold
    recorder = _recorder(control)
    recorder.finish_later(OrderAttempt('guild', 'k'), 'unknown')
    assert arrived.wait(TEST_TIMEOUT_S)
    assert recorder.unacknowledged == 1
    released.set()
    wait_until(lambda: not recorder.unacknowledged)


def test_large_answer_is_truncated_in_record() -> None:
    """Guards against an answer that fills the replicated log."""
    control = FakeControl({'ok': True})
    response = WebResponse.from_bytes(b'x' * 100_000, 'text/plain')
    _recorder(control).finish(OrderAttempt('guild', 'k'), response, '')
    assert len(control.commands('order_finish')[0]['body']) == 65_537
