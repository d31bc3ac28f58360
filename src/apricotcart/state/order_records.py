"""Order records and their bounds."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any, Final

from apricotcart.codec.record import Record
from apricotcart.state.errors import OrderRecordsFullError
from apricotcart.state.limits import ORDER_UNKNOWN_AFTER_MS, Limits

IN_PROGRESS: Final = 'in_progress'
DONE: Final = 'done'
NOT_RUN: Final = 'not_run'
UNKNOWN: Final = 'unknown'

OrderKey = tuple[str, str]


class OrderRecord(Record):
    """What is known of one order.

    Attributes
    ----------
    state : str
        ``in_progress``, ``done`` or ``unknown``.
    begun_ms, changed_ms : int
        Time of the begin and of the last change.
    body_kept : bool
        False if the response was too large to be stored.
    """

    __slots__ = (
        'customer',
        'idempotency_key',
        'attempt_id',
        'body_hash',
        'host',
        'incarnation',
        'state',
        'begun_ms',
        'changed_ms',
        'status',
        'content_type',
        'body',
        'body_kept',
    )

    def __init__(
        self,
        *,
        customer: str,
        idempotency_key: str,
        attempt_id: str,
        body_hash: str,
        host: str,
        incarnation: int,
        begun_ms: int,
        changed_ms: int,
        state: str = IN_PROGRESS,
        status: int = 0,
        content_type: str = '',
        body: bytes = b'',
        body_kept: bool = True,
    ) -> None:
        """Keep the fields."""
        self.customer = customer
        self.idempotency_key = idempotency_key
        self.attempt_id = attempt_id
        self.body_hash = body_hash
        self.host = host
        self.incarnation = incarnation
        self.state = state
        self.begun_ms = begun_ms
        self.changed_ms = changed_ms
        self.status = status
        self.content_type = content_type
        self.body = body
        self.body_kept = body_kept

    @property
    def key(self) -> OrderKey:
        """Give customer and idempotency key."""
        return self.customer, self.idempotency_key

    def state_at(self, now_ms: int) -> str:
        """Give the state; without an outcome for long it is unknown."""
        age_ms = now_ms - self.begun_ms
        if self.state == IN_PROGRESS and age_ms >= ORDER_UNKNOWN_AFTER_MS:
            return UNKNOWN
        return self.state


class OrderStore:
    """Order records in order of their last change, within bounds.

    Records and stored bytes are bounded for each customer and in total. A
    customer may hold at most as many of either as are free, so that no
    customer can use up the table: one alone gets half of it, and n of them
    get 1/(n+1) each.
    """

    __slots__ = ('_held', '_limits', '_records', 'stored_bytes')

    def __init__(self, limits: Limits) -> None:
        """Start empty."""
        self._limits = limits
        # Ordered, since removal from the front of a dict is not O(1).
        self._records: OrderedDict[OrderKey, OrderRecord] = OrderedDict()
        #: Count and bytes of each customer.
        self._held: dict[str, tuple[int, int]] = {}
        self.stored_bytes = 0

    def __len__(self) -> int:
        """Count the records."""
        return len(self._records)

    def get(self, customer: str, idempotency_key: str) -> OrderRecord | None:
        """Give a record, or None if there is none."""
        return self._records.get((customer, idempotency_key))

    def oldest(self) -> OrderRecord | None:
        """Give the record whose last change is the longest ago."""
        return next(iter(self._records.values()), None)

    def count_of(self, customer: str) -> int:
        """Count the records of a customer."""
        return self._held.get(customer, (0, 0))[0]

    def check_room(self, customer: str) -> None:
        """Check that a customer may add a record.

        Raises
        ------
        OrderRecordsFullError
            If there is no room.
        """
        limits = self._limits
        count, size = self._held.get(customer, (0, 0))
        free_count = limits.max_orders - len(self._records)
        if count >= min(limits.max_customer_orders, free_count):
            raise OrderRecordsFullError('too many order records')
        if size >= limits.max_order_bytes - self.stored_bytes:
            raise OrderRecordsFullError('stored responses take too much room')

    def has_room_for(self, body: bytes) -> bool:
        """Say whether a response can be stored."""
        free_bytes = self._limits.max_order_bytes - self.stored_bytes
        return len(body) <= min(self._limits.max_body_bytes, free_bytes)

    def add(self, record: OrderRecord) -> None:
        """Add a record as the last changed."""
        self._records[record.key] = record
        self._count(record, 1)

    def remove(self, record: OrderRecord) -> None:
        """Remove a record."""
        self._records.pop(record.key)
        self._count(record, -1)

    def to_wire(self) -> list[Any]:
        """Give the records as lists of their fields."""
        return [
            [getattr(record, name) for name in OrderRecord.__slots__]
            for record in self._records.values()
        ]

    def load(self, wire: list[Any]) -> None:
        """Fill an empty store from ``to_wire``."""
        for fields in wire:
            named = zip(OrderRecord.__slots__, fields, strict=True)
            self.add(OrderRecord.from_wire(dict(named)))

    def _count(self, record: OrderRecord, sign: int) -> None:
        size = sign * len(record.body)
        count, held_bytes = self._held.get(record.customer, (0, 0))
        self.stored_bytes += size
        if count + sign:
            self._held[record.customer] = (count + sign, held_bytes + size)
        else:
            self._held.pop(record.customer)
