"""Order records against hosts that crash at any step."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule
from state.driven import Driven, run_faulty, run_machine

from apricotcart.state import orders
from apricotcart.state.limits import Limits
from apricotcart.state.order_records import OrderRecord, OrderStore

PICK = st.integers(0, 3)


class Attempt:
    """What the host of one attempt knows and did."""

    def __init__(self, key: str, number: int) -> None:
        self.key = key
        self.attempt_id = f'attempt{number}'
        self.may_send = False
        self.sent = False
        self.told_not_run = False
        self.is_closed = False
        self.finish: dict[str, Any] | None = None

    def ids(self) -> dict[str, Any]:
        """Give the fields that all commands on the order share."""
        return {
            'customer': 'acme',
            'idempotency_key': self.key,
            'attempt_id': self.attempt_id,
        }


class OrderModel(Driven):
    """Hosts, their attempts, and what an endpoint ran.

    Each step of an attempt is a rule of its own, so a host that is never
    chosen again has crashed there. Commands are lost by not being chosen,
    and repeated or delayed by being chosen later.
    """

    limits = Limits(max_orders=3, max_customer_orders=2)

    def __init__(self) -> None:
        super().__init__()
        self.attempts: list[Attempt] = []
        self.runs: Counter[str] = Counter()

    @rule(key=st.sampled_from(('k1', 'k2')), is_delayed=st.booleans())
    def ask(self, key: str, is_delayed: bool) -> None:
        """Let a caller send, or send again, an order to some host."""
        self.attempts.append(Attempt(key, len(self.attempts)))
        if not is_delayed:
            self.begin(0, is_lost=False)

    @rule(pick=PICK, is_lost=st.booleans())
    def begin(self, pick: int, is_lost: bool) -> None:
        """Deliver a begin; the reply may be lost."""
        for attempt in self.picked(pick):
            reply = self.send(
                'order_begin',
                body_hash='h',
                host='h1',
                incarnation=1,
                **attempt.ids(),
            )
            outcome = reply.get('outcome')
            if outcome == 'finished':
                assert reply['body'] == attempt.key.encode()
                assert self.runs[attempt.key]
            if outcome == 'start':
                assert not attempt.is_closed
                attempt.may_send |= not (is_lost or attempt.told_not_run)

    @rule(pick=PICK)
    def send_order(self, pick: int) -> None:
        """Send the order to the endpoint, once for an attempt."""
        for attempt in self.picked(pick):
            if attempt.may_send and not attempt.sent:
                assert not attempt.told_not_run
                attempt.sent = True
                self.runs[attempt.key] += 1
                attempt.finish = {
                    'result': 'done',
                    'status': 200,
                    'body': attempt.key.encode(),
                }

    @rule(pick=PICK)
    def lose_answer(self, pick: int) -> None:
        """Let the endpoint's answer be lost."""
        for attempt in self.picked(pick):
            if attempt.sent:
                attempt.finish = {'result': 'unknown'}

    @rule(pick=PICK)
    def give_up(self, pick: int) -> None:
        """Tell the caller not_run before anything is sent."""
        for attempt in self.picked(pick):
            if not attempt.sent:
                attempt.may_send = False
                attempt.told_not_run = True
                attempt.finish = {'result': 'not_run'}

    @rule(pick=PICK)
    def finish(self, pick: int) -> None:
        """Deliver the outcome, perhaps again."""
        for attempt in self.picked(pick):
            if attempt.finish:
                self.send('order_finish', **attempt.ids(), **attempt.finish)
                attempt.is_closed |= attempt.told_not_run

    @rule()
    def wait_hours(self) -> None:
        """Let most of the retention pass."""
        if self.at_ms < 3_600_000:
            self.at_ms += 22 * 3_600_000

    @invariant()
    def at_most_once(self) -> None:
        """No order ran twice, and no two attempts may send one."""
        able = Counter(each.key for each in self.attempts if each.may_send)
        assert max(self.runs.values(), default=0) <= 1
        assert max(able.values(), default=0) <= 1

    def picked(self, pick: int) -> list[Attempt]:
        """Give one of the latest attempts."""
        if not self.attempts:
            return []
        return [self.attempts[-1 - pick % len(self.attempts)]]


def test_orders_model() -> None:
    """Guards against an order that runs twice."""
    run_machine(OrderModel)


def _start_again(*args: Any) -> dict[str, Any]:
    return {'outcome': 'start'}


def _evict(store: OrderStore, customer: str) -> None:
    oldest = store.oldest()
    if oldest:
        store.remove(oldest)


def _forget_unknown(record: OrderRecord, full: Any, now_ms: int) -> Any:
    is_unknown = record.state_at(now_ms) == 'unknown'
    return {'outcome': 'start' if is_unknown else record.state}


def _close_any(
    table: orders.OrderTable,
    attempt_id: str,
    record: OrderRecord | None,
) -> None:
    """Free the order whatever attempt the finish is of."""
    oldest = table.store.oldest()
    if oldest:
        table.store.remove(oldest)


@pytest.mark.parametrize(
    ('target', 'name', 'faulty'),
    [
        (orders, '_outcome', _start_again),
        (orders, '_outcome', _forget_unknown),
        (orders, 'ORDER_RETENTION_MS', 3_600_000),
        (orders, 'MAX_CLOSED_ATTEMPTS', 0),
        (orders.OrderTable, '_close', _close_any),
        (OrderStore, 'check_room', _evict),
        (OrderStore, 'load', lambda *args: None),
    ],
)
def test_orders_model_fails(target: object, name: str, faulty: Any) -> None:
    """Guards against a model that passes with a mechanism off."""
    run_faulty(OrderModel, target, name, faulty)
