"""Order records and their bounds."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from typing import Any, Final

from apricotcart.codec.packing import pack, unpack
from apricotcart.codec.record import Record
from apricotcart.state.errors import OrderRecordsFullError
from apricotcart.state.limits import ORDER_UNKNOWN_AFTER_MS, Limits

IN_PROGRESS: Final = 'in_progress'
DONE: Final = 'done'
NOT_RUN: Final = 'not_run'
UNKNOWN: Final = 'unknown'

_DIGEST_BYTES: Final = 16


def digest(*parts: str) -> bytes:
    """Give a digest that stands for strings of any length."""
    packed = pack(parts)
    return hashlib.blake2b(packed, digest_size=_DIGEST_BYTES).digest()


class OrderRecord(Record):
    """What is known of one order.

    Attributes
    ----------
    key : bytes
        Digest of customer and idempotency key.
    idempotency_key : str
        Empty once the order is done, when only the digest is needed.
    attempt, body_hash : bytes
        Digests of what the attempt's host sent.
    state : str
        ``in_progress``, ``done`` or ``unknown``.
    begun_ms, changed_ms : int
        Time of the begin and of the last change.
    body_kept : bool
        False if the response was too large to be stored.
    """

    __slots__ = (
        'key',
        'customer',
        'idempotency_key',
        'attempt',
        'body_hash',
        'host',
        'incarnation',
        'begun_ms',
        'changed_ms',
        'state',
        'status',
        'content_type',
        'body',
        'body_kept',
    )

    def __init__(
        self,
        *,
        key: bytes,
        customer: str,
        idempotency_key: str,
        attempt: bytes,
        body_hash: bytes,
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
        self.key = key
        self.customer = customer
        self.idempotency_key = idempotency_key
        self.attempt = attempt
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

    @classmethod
    def from_begin(cls, full: Mapping[str, Any], now_ms: int) -> OrderRecord:
        """Build the record of a valid ``order_begin``."""
        return cls(
            key=digest(full['customer'], full['idempotency_key']),
            customer=full['customer'],
            idempotency_key=full['idempotency_key'],
            attempt=digest(full['attempt_id']),
            body_hash=digest(full['body_hash']),
            host=full['host'],
            incarnation=full['incarnation'],
            begun_ms=now_ms,
            changed_ms=now_ms,
        )

    @classmethod
    def from_bytes(cls, blob: bytes) -> OrderRecord:
        """Build the record from ``to_bytes``."""
        named = zip(cls.__slots__, unpack(blob), strict=True)
        return cls(**dict(named))

    def to_bytes(self) -> bytes:
        """Give the fields in their order."""
        return pack([getattr(self, name) for name in self.__slots__])

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

    Records are kept packed: most are never read again, and the packed form
    takes less than half of the memory and is the one of the snapshot.
    """

    __slots__ = ('_held', '_limits', '_open', '_records', 'stored_bytes')

    def __init__(self, limits: Limits) -> None:
        """Start empty."""
        self._limits = limits
        # Ordered, since removal from the front of a dict is not O(1).
        self._records: OrderedDict[bytes, bytes] = OrderedDict()
        #: Keys of records that are not done, in order of their last change.
        self._open: dict[bytes, None] = {}
        #: Count and bytes of each customer.
        self._held: dict[str, tuple[int, int]] = {}
        self.stored_bytes = 0

    def __len__(self) -> int:
        """Count the records."""
        return len(self._records)

    def get(self, customer: str, idempotency_key: str) -> OrderRecord | None:
        """Give a record, or None if there is none."""
        blob = self._records.get(digest(customer, idempotency_key))
        return OrderRecord.from_bytes(blob) if blob else None

    def oldest(self) -> OrderRecord | None:
        """Give the record whose last change is the longest ago."""
        blob = next(iter(self._records.values()), None)
        return OrderRecord.from_bytes(blob) if blob else None

    def unfinished(self) -> Iterator[OrderRecord]:
        """Give the records that are not done, in order of their last change."""
        for key in self._open:
            yield OrderRecord.from_bytes(self._records[key])

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
        self._records[record.key] = record.to_bytes()
        self._count(record, 1)
        if record.state == DONE:
            self._open.pop(record.key, None)
        else:
            self._open[record.key] = None

    def remove(self, record: OrderRecord) -> None:
        """Remove a record."""
        self._records.pop(record.key)
        self._count(record, -1)
        self._open.pop(record.key, None)

    def to_wire(self) -> dict[str, Any]:
        """Give the packed records and what is counted of them."""
        return {
            'keys': list(self._records),
            'records': list(self._records.values()),
            'open': list(self._open),
            'held': [[name, *held] for name, held in self._held.items()],
        }

    def load(self, wire: Mapping[str, Any]) -> None:
        """Fill an empty store from ``to_wire``; no record is unpacked."""
        named = zip(wire['keys'], wire['records'], strict=True)
        self._records = OrderedDict(named)
        self._open = dict.fromkeys(wire['open'])
        for customer, count, held_bytes in wire['held']:
            self._held[customer] = (count, held_bytes)
            self.stored_bytes += held_bytes

    def _count(self, record: OrderRecord, sign: int) -> None:
        size = sign * len(record.body)
        count, held_bytes = self._held.get(record.customer, (0, 0))
        self.stored_bytes += size
        if count + sign:
            self._held[record.customer] = (count + sign, held_bytes + size)
        else:
            self._held.pop(record.customer)
