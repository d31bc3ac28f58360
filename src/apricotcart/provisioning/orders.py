"""Endpoint orders, sent until the platform answers."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from apricotcart.codec.record import Record
from apricotcart.provisioning.api import NO_CAPACITY

if TYPE_CHECKING:
    from apricotcart.provisioning.api import Answer
    from apricotcart.provisioning.authority import Authority
    from apricotcart.provisioning.backoff import KeyedBackoff
    from apricotcart.provisioning.outbox import Outbox
    from apricotcart.provisioning.placement import Place

RESEND_S = 1.0


class Order(Record):
    """An order of endpoints of one kind in one zone.

    ``due`` is the monotonic time, in seconds, of its next send.
    """

    __slots__ = ('amount', 'due', 'op_id', 'place', 'pool')

    def __init__(
        self,
        *,
        pool: str,
        place: Place,
        amount: int,
        op_id: str,
        due: float,
    ) -> None:
        self.pool = pool
        self.place = place
        self.amount = amount
        self.op_id = op_id
        self.due = due


class OrderBook:
    """Orders in progress.

    An order whose answer was lost is sent again with the same ``op_id``, so
    that the platform starts its endpoints only once. An order refused for
    lack of capacity is halved. Once a single endpoint is refused, the place
    backs off.

    Parameters
    ----------
    authority : Authority
        Provides the fencing token.
    outbox : Outbox
        Queue of outgoing orders.
    backoff : KeyedBackoff
        Back-off of places without capacity.

    Attributes
    ----------
    changed_at : dict
        Time of the last accepted order by pool.
    failures : dict
        By pool, the code of a persistent failure, such as ``no_answer``.
    """

    __slots__ = (
        '_authority',
        '_backoff',
        '_op_numbers',
        '_pending',
        '_outbox',
        'changed_at',
        'failures',
    )

    def __init__(
        self,
        authority: Authority,
        outbox: Outbox,
        backoff: KeyedBackoff,
    ) -> None:
        self._authority = authority
        self._outbox = outbox
        self._backoff = backoff
        self._op_numbers = count(1)
        self._pending: dict[str, Order] = {}
        self.changed_at: dict[str, float] = {}
        self.failures: dict[str, str] = {}

    def add(self, now: float, pool: str, place: Place, amount: int) -> None:
        """Add an order, which is due at once."""
        number = next(self._op_numbers)
        fencing = self._authority.fencing_token
        order = Order(
            pool=pool,
            place=place,
            amount=amount,
            op_id=f'order-{fencing}-{number}',
            due=now,
        )
        self._pending[order.op_id] = order

    def has_pending(self, pool: str) -> bool:
        """Return whether a pool has unanswered orders."""
        return any(order.pool == pool for order in self._pending.values())

    def tick(self, now: float) -> None:
        """Send the orders that are due."""
        for order in self._pending.values():
            if now >= order.due:
                # Not due again until its answer, which always arrives.
                order.due = float('inf')
                self._send(order)

    def clear(self) -> None:
        """Discard all orders and failures."""
        self._pending.clear()
        self.changed_at.clear()
        self.failures.clear()
        self._backoff.clear()

    def _send(self, order: Order) -> None:
        zone, cheap = order.place
        self._outbox.send(
            lambda now, answer: self._on_answer(now, order, answer),
            path='/endpoints/orders',
            body={
                'fencing': self._authority.fencing_token,
                'holder': self._authority.holder,
                'op_id': order.op_id,
                'pool': order.pool,
                'zone': zone,
                'cheap': cheap,
                'count': order.amount,
            },
        )

    def _on_answer(self, now: float, order: Order, answer: Answer) -> None:
        if answer.is_ok:
            self._pending.pop(order.op_id)
            self.changed_at[order.pool] = now
            self.failures.pop(order.pool, None)
            self._backoff.record_success(order.place)
        elif answer.code == NO_CAPACITY:
            self._pending.pop(order.op_id)
            self._on_no_capacity(now, order)
        else:
            order.due = now + RESEND_S
            self.failures[order.pool] = answer.code or f'{answer.status}'

    def _on_no_capacity(self, now: float, order: Order) -> None:
        if order.amount > 1:
            self.add(now, order.pool, order.place, order.amount // 2)
        else:
            self._backoff.record_failure(now, order.place)
