"""Model test of order records with hosts that crash at any step."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule
from state.model_testing import (
    ReplicatedStateTest,
    check_model,
    check_model_fails,
)

from apricotcart.state import orders
from apricotcart.state.limits import Limits
from apricotcart.state.order_records import OrderRecord, OrderStore

OFFSETS = st.integers(0, 3)


class Attempt:
    """State of one attempt at its host."""

    def __init__(self, key: str, number: int) -> None:
        self.key = key
        self.attempt_id = f'attempt{number}'
        self.may_send = False
        self.sent = False
        self.reported_not_run = False
        self.is_closed = False
        self.finish: dict[str, Any] | None = None

    def command_fields(self) -> dict[str, Any]:
        """Return the common fields of the commands on the order."""
        return {
            'customer': 'acme',
            'idempotency_key': self.key,
            'attempt_id': self.attempt_id,
        }


class OrderModel(ReplicatedStateTest):
    """Model of hosts, their attempts and the runs of an endpoint.

    Each step of an attempt is a separate rule. A host whose next step is
    never chosen has crashed, a command that is never chosen is lost, and one
    chosen again or later is repeated or delayed.
    """

    limits = Limits(max_orders=3, max_customer_orders=2)

    def __init__(self) -> None:
        super().__init__()
        self.attempts: list[Attempt] = []
        self.runs: Counter[str] = Counter()

    @rule(key=st.sampled_from(('k1', 'k2')), is_delayed=st.booleans())
    def start_attempt(self, key: str, is_delayed: bool) -> None:
        """Send or resend an order from a caller to a host."""
        self.attempts.append(Attempt(key, len(self.attempts)))
        if not is_delayed:
            self.begin(0, is_lost=False)

    @rule(offset=OFFSETS, is_lost=st.booleans())
    def begin(self, offset: int, is_lost: bool) -> None:
        """Deliver a begin command; its reply may be lost."""
        for attempt in self.pick_attempt(offset):
            reply = self.send(
                'order_begin',
                body_hash='h',
                host='h1',
                incarnation=1,
                **attempt.command_fields(),
            )
            outcome = reply.get('outcome')
            if outcome == 'finished':
                assert reply['body'] == attempt.key.encode()
                assert self.runs[attempt.key]
            if outcome == 'start':
                assert not attempt.is_closed
                attempt.may_send |= not (is_lost or attempt.reported_not_run)

    @rule(offset=OFFSETS)
    def send_order(self, offset: int) -> None:
        """Send the order to the endpoint, once per attempt."""
        for attempt in self.pick_attempt(offset):
            if attempt.may_send and not attempt.sent:
                assert not attempt.reported_not_run
                attempt.sent = True
                self.runs[attempt.key] += 1
                attempt.finish = {
                    'result': 'done',
                    'status': 200,
                    'body': attempt.key.encode(),
                }

    @rule(offset=OFFSETS)
    def lose_response(self, offset: int) -> None:
        """Lose the response of the endpoint."""
        for attempt in self.pick_attempt(offset):
            if attempt.sent:
                attempt.finish = {'result': 'unknown'}

    @rule(offset=OFFSETS)
    def report_not_run(self, offset: int) -> None:
        """Report ``not_run`` to the caller before the order is sent."""
        for attempt in self.pick_attempt(offset):
            if not attempt.sent:
                attempt.may_send = False
                attempt.reported_not_run = True
                attempt.finish = {'result': 'not_run'}

    @rule(offset=OFFSETS)
    def finish(self, offset: int) -> None:
        """Deliver a finish command, possibly again."""
        for attempt in self.pick_attempt(offset):
            if attempt.finish:
                self.send(
                    'order_finish', **attempt.command_fields(), **attempt.finish
                )
                attempt.is_closed |= attempt.reported_not_run

    @rule()
    def wait_most_of_retention(self) -> None:
        """Advance the time by 22 h of the retention time of 24 h, once."""
        if self.at_ms < 3_600_000:
            self.at_ms += 22 * 3_600_000

    @invariant()
    def at_most_once(self) -> None:
        """Check that no order ran twice or may be sent by two attempts."""
        sendable = Counter(
            attempt.key for attempt in self.attempts if attempt.may_send
        )
        assert max(self.runs.values(), default=0) <= 1
        assert max(sendable.values(), default=0) <= 1

    def pick_attempt(self, offset: int) -> list[Attempt]:
        """Return one of the latest attempts in a list, if there is any."""
        if not self.attempts:
            return []
        return [self.attempts[-1 - offset % len(self.attempts)]]


def test_orders_model() -> None:
    """Guards against an order that runs twice."""
    check_model(OrderModel)


def _always_start(*args: Any) -> dict[str, Any]:
    return {'outcome': 'start'}


def _evict_oldest(store: OrderStore, customer: str) -> None:
    oldest = store.oldest()
    if oldest:
        store.remove(oldest)


def _restart_unknown(record: OrderRecord, command: Any, now_ms: int) -> Any:
    is_unknown = record.state_at(now_ms) == 'unknown'
    return {'outcome': 'start' if is_unknown else record.state}


def _close_oldest(
    table: orders.OrderTable,
    attempt_id: str,
    record: OrderRecord | None,
) -> None:
    """Remove the oldest record, whatever attempt the finish is for."""
    oldest = table.store.oldest()
    if oldest:
        table.store.remove(oldest)


@pytest.mark.parametrize(
    ('target', 'name', 'faulty'),
    [
        (orders, '_begin_reply', _always_start),
        (orders, '_begin_reply', _restart_unknown),
        (orders, 'ORDER_RETENTION_MS', 3_600_000),
        (orders, 'MAX_CLOSED_ATTEMPTS', 0),
        (orders.OrderTable, '_close_not_run', _close_oldest),
        (OrderStore, 'check_capacity', _evict_oldest),
        (OrderStore, 'load', lambda *args: None),
    ],
)
def test_orders_model_fails(target: object, name: str, faulty: Any) -> None:
    """Guards against a model that passes with a disabled mechanism."""
    check_model_fails(OrderModel, target, name, faulty)
