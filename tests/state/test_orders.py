"""Tests of order records, which let an order run at most once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from state.conftest import Send

from apricotcart.codec.packing import pack, unpack
from apricotcart.state.limits import (
    ORDER_RETENTION_MS,
    ORDER_UNKNOWN_AFTER_MS,
    Limits,
)
from apricotcart.state.machine import ClusterState

Order = Callable[..., dict[str, Any]]
KEY = {'customer': 'acme', 'idempotency_key': 'k'}
RESPONSE = {'status': 201, 'content_type': 'text/plain', 'body': b'booked'}


@pytest.fixture
def begin(send: Send) -> Order:
    """Return a function that begins the order for an attempt."""

    def send_begin(attempt: str = 'a1', **fields: Any) -> dict[str, Any]:
        command = {
            **KEY,
            'attempt_id': attempt,
            'body_hash': 'h',
            'host': 'h1',
            'incarnation': 1,
            **fields,
        }
        return send('order_begin', **command)

    return send_begin


@pytest.fixture
def finish(send: Send) -> Order:
    """Return a function that finishes the order of an attempt."""

    def send_finish(result: str, attempt: str = 'a1', **fields: Any) -> Any:
        command = {**KEY, 'attempt_id': attempt, 'result': result, **fields}
        return send('order_finish', **command)

    return send_finish


def test_begin_once(begin: Order, finish: Order) -> None:
    """Guards against a second attempt that may also send the order."""
    assert begin('a1')['outcome'] == 'start'
    assert begin('a2')['outcome'] == 'in_progress'
    assert begin('a2', body_hash='other')['outcome'] == 'conflict'
    assert finish('done', **RESPONSE)['ok']
    expected = {
        **RESPONSE,
        'ok': True,
        'outcome': 'finished',
        'body_kept': True,
    }
    assert begin('a2') == expected
    assert begin('a1') == expected


def test_begin_resent(begin: Order) -> None:
    """Guards against failing an order whose begin is sent again.

    The reply to the first begin was lost.
    """
    assert begin('a1')['outcome'] == begin('a1')['outcome'] == 'start'


def test_crash_before_begin_is_committed(begin: Order, finish: Order) -> None:
    """Guards against a delayed begin of an attempt reported as not run."""
    assert finish('not_run', 'a1')['ok']
    assert begin('a1')['code'] == 'stale_attempt'
    assert begin('a2')['outcome'] == 'start'


def test_crash_after_begin(begin: Order, finish: Order) -> None:
    """Guards against a second run after the host of an attempt crashed."""
    begin('a1')
    late = ORDER_UNKNOWN_AFTER_MS + 1000
    assert begin('a2', at_ms=late - 1)['outcome'] == 'in_progress'
    assert begin('a2', at_ms=late)['outcome'] == 'unknown'
    # A suspended host may resume and report the outcome of its attempt.
    assert finish('done', at_ms=late, **RESPONSE)['ok']
    assert begin('a3')['outcome'] == 'finished'


def test_unfinished_orders(
    begin: Order,
    finish: Order,
    state: ClusterState,
) -> None:
    """Guards against hiding orders with unknown outcome from operators."""
    begin('a1')
    begin('a2', idempotency_key='other')
    finish('done', 'a2', idempotency_key='other')
    finish('unknown', 'a1')
    copy = ClusterState()
    copy.restore(state.snapshot())
    for checked in (state, copy):
        unfinished = checked.unfinished_orders()
        assert [record.idempotency_key for record in unfinished] == ['k']
        assert unfinished[0].state == 'unknown'
    finish('done', 'a1')
    assert not state.unfinished_orders()


def test_crash_before_finish_reply(begin: Order, finish: Order) -> None:
    """Guards against a resent finish that changes the outcome."""
    begin('a1')
    finish('done', **RESPONSE)
    assert finish('done', **{**RESPONSE, 'body': b'other'})['ok']
    assert finish('unknown')['ok']
    assert begin('a2')['body'] == b'booked'
    assert finish('not_run')['code'] == 'stale_attempt'
    assert begin('a2')['outcome'] == 'finished'


def test_finish_not_run(begin: Order, finish: Order) -> None:
    """Guards against a delayed finish that removes a newer attempt."""
    begin('a1')
    finish('not_run', 'a1')
    assert begin('a2')['outcome'] == 'start'
    assert finish('not_run', 'a1')['ok']
    assert begin('a3')['outcome'] == 'in_progress'
    assert finish('done', 'a1')['code'] == 'stale_attempt'
    assert begin('a1')['outcome'] == 'in_progress'


def test_retention_from_last_change(begin: Order, finish: Order) -> None:
    """Guards against removing an order before its retention time ends."""
    begin('a1')
    finish('done', at_ms=5000, **RESPONSE)
    over = 5000 + ORDER_RETENTION_MS
    assert begin('a2', at_ms=over - 1)['outcome'] == 'finished'
    # The time does not decrease if the clock of a new leader is behind.
    assert begin('a2', at_ms=1)['outcome'] == 'finished'
    assert begin('a2', at_ms=over)['outcome'] == 'start'


def test_full_table_keeps_records() -> None:
    """Guards against evicting a record, or one customer filling the table."""
    state = ClusterState(Limits(max_orders=8, max_customer_orders=3))
    begun = [
        _begin(state, customer, str(number))
        for customer in ('acme', 'mill', 'farm')
        for number in range(4)
    ]
    outcomes = ' '.join(begun)
    assert outcomes == (
        'start start start full start start start full start full full full'
    )
    assert _begin(state, 'acme', '0', attempt='other') == 'in_progress'


def test_large_response() -> None:
    """Guards against exceeding the bounds on stored response bytes."""
    state = ClusterState(Limits(max_body_bytes=8, max_order_bytes=12))
    sizes = {'0': 9, '1': 7, '2': 7}
    for key in sizes:
        assert _begin(state, 'acme', key) == 'start'
    for key, size in sizes.items():
        command = {
            'kind': 'order_finish',
            'at_ms': 1,
            'customer': 'acme',
            'idempotency_key': key,
            'attempt_id': key,
            'result': 'done',
            'body': b'x' * size,
        }
        assert unpack(state.apply(1, pack(command)))['ok']
    assert state.tables.orders.store.stored_bytes == 7
    record = state.tables.orders.store.get('acme', '2')
    assert record and not record.body_kept
    assert _begin(state, 'acme', '2') == 'finished'
    assert _begin(state, 'acme', '3') == 'full'


def test_deleted_customer_with_records(begin: Order, send: Send) -> None:
    """Guards against exposing responses to a later customer of that name."""
    change = {'kind': 'customer', 'name': 'acme', 'spec': {'weight': 1}}
    assert send('apply', changes=[change])['ok']
    begin('a1')
    reply = send('delete', resource_kind='customer', name='acme')
    assert reply['code'] == 'referenced'


def _begin(
    state: ClusterState,
    customer: str,
    key: str,
    attempt: str | None = None,
) -> str:
    command = {
        'kind': 'order_begin',
        'at_ms': 1,
        'customer': customer,
        'idempotency_key': key,
        'attempt_id': attempt or key,
        'body_hash': 'h',
        'host': 'h1',
        'incarnation': 1,
    }
    reply = unpack(state.apply(1, pack(command)))
    if reply['ok']:
        return str(reply['outcome'])
    assert reply['code'] == 'order_records_full'
    return 'full'
