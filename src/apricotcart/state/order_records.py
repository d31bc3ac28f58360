"""Order records and the store that bounds them."""

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
    """Return a digest of strings of any length."""
    packed = pack(parts)
    return hashlib.blake2b(packed, digest_size=_DIGEST_BYTES).digest()


class OrderRecord(Record):
    """State of one order.

    Attributes
    ----------
    key : bytes
        Digest of customer and idempotency key.
    idempotency_key : str
        Empty once the order is done, since only the digest is needed then.
    attempt, body_hash : bytes
        Digests of the attempt id and of the body hash.
    state : str
        ``in_progress``, ``done`` or ``unknown``.
    begun_ms, changed_ms : int
        Time of the begin and of the last change, in milliseconds.
    body_kept : bool
        Whether the response is stored; false if it was too large.
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
    def from_begin(cls, command: Mapping[str, Any], now_ms: int) -> OrderRecord:
        """Return a record for a valid ``order_begin``."""
        return cls(
            key=digest(command['customer'], command['idempotency_key']),
            customer=command['customer'],
            idempotency_key=command['idempotency_key'],
            attempt=digest(command['attempt_id']),
            body_hash=digest(command['body_hash']),
            host=command['host'],
            incarnation=command['incarnation'],
            begun_ms=now_ms,
            changed_ms=now_ms,
        )

    @classmethod
    def from_bytes(cls, blob: bytes) -> OrderRecord:
        """Decode the output of ``to_bytes``."""
        named = zip(cls.__slots__, unpack(blob), strict=True)
        return cls(**dict(named))

    def to_bytes(self) -> bytes:
        """Encode the field values in the order of the slots."""
        return pack([getattr(self, name) for name in self.__slots__])

    def state_at(self, now_ms: int) -> str:
        """Return the state; unknown if in progress for too long."""
        age_ms = now_ms - self.begun_ms
        if self.state == IN_PROGRESS and age_ms >= ORDER_UNKNOWN_AFTER_MS:
            return UNKNOWN
        return self.state


class OrderStore:
    """Bounded store of order records, ordered by last change.

    The number of records is bounded in total and for each customer, and the
    stored bytes are bounded in total. A customer may use at most as much of
    either as is still free, so that no customer can fill the store: a single
    customer gets half of it, and n customers get 1/(n+1) each.

    Records are stored encoded: most are never read again, and the encoded
    form needs less than half of the memory and is used in snapshots as is.
    """

    __slots__ = (
        '_totals_by_customer',
        '_limits',
        '_unfinished_keys',
        '_records',
        'stored_bytes',
    )

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        # Ordered, since removal from the front of a dict is not O(1).
        self._records: OrderedDict[bytes, bytes] = OrderedDict()
        #: Keys of records that are not done, ordered by last change.
        self._unfinished_keys: dict[bytes, None] = {}
        #: Record count and stored bytes of each customer.
        self._totals_by_customer: dict[str, tuple[int, int]] = {}
        self.stored_bytes = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def get(self, customer: str, idempotency_key: str) -> OrderRecord | None:
        """Return a record, or None if it does not exist."""
        blob = self._records.get(digest(customer, idempotency_key))
        return OrderRecord.from_bytes(blob) if blob else None

    def oldest(self) -> OrderRecord | None:
        """Return the record with the oldest last change."""
        blob = next(iter(self._records.values()), None)
        return OrderRecord.from_bytes(blob) if blob else None

    def unfinished(self) -> Iterator[OrderRecord]:
        """Yield the records that are not done, ordered by last change."""
        for key in self._unfinished_keys:
            yield OrderRecord.from_bytes(self._records[key])

    def customer_count(self, customer: str) -> int:
        """Return the number of records of a customer."""
        return self._totals_by_customer.get(customer, (0, 0))[0]

    def check_capacity(self, customer: str) -> None:
        """Check that a record can be added for a customer.

        Raises
        ------
        OrderRecordsFullError
            If the count or the stored bytes have reached a bound.
        """
        limits = self._limits
        count, byte_count = self._totals_by_customer.get(customer, (0, 0))
        free_count = limits.max_orders - len(self._records)
        if count >= min(limits.max_customer_orders, free_count):
            raise OrderRecordsFullError(
                f'the customer has {count} order records; the limit is the '
                f'lower of {limits.max_customer_orders} and the {free_count} '
                'that are free'
            )
        if byte_count >= limits.max_order_bytes - self.stored_bytes:
            raise OrderRecordsFullError(
                f'the customer has {byte_count} bytes of stored responses, and '
                'the store has no more bytes free than that'
            )

    def can_store(self, body: bytes) -> bool:
        """Return whether a response body fits into the store."""
        free_bytes = self._limits.max_order_bytes - self.stored_bytes
        return len(body) <= min(self._limits.max_body_bytes, free_bytes)

    def add(self, record: OrderRecord) -> None:
        """Add a record as the most recently changed one."""
        self._records[record.key] = record.to_bytes()
        self._add_to_totals(record, 1)
        if record.state == DONE:
            self._unfinished_keys.pop(record.key, None)
        else:
            self._unfinished_keys[record.key] = None

    def remove(self, record: OrderRecord) -> None:
        """Remove a record."""
        self._records.pop(record.key)
        self._add_to_totals(record, -1)
        self._unfinished_keys.pop(record.key, None)

    def to_wire(self) -> dict[str, Any]:
        """Return the encoded records and the totals by customer."""
        return {
            'keys': list(self._records),
            'records': list(self._records.values()),
            'open': list(self._unfinished_keys),
            'held': [
                [name, *totals]
                for name, totals in self._totals_by_customer.items()
            ],
        }

    def load(self, wire: Mapping[str, Any]) -> None:
        """Load the output of ``to_wire``; records are not decoded."""
        named = zip(wire['keys'], wire['records'], strict=True)
        self._records = OrderedDict(named)
        self._unfinished_keys = dict.fromkeys(wire['open'])
        for customer, count, byte_count in wire['held']:
            self._totals_by_customer[customer] = (count, byte_count)
            self.stored_bytes += byte_count

    def _add_to_totals(self, record: OrderRecord, sign: int) -> None:
        byte_count = sign * len(record.body)
        count, customer_bytes = self._totals_by_customer.get(
            record.customer, (0, 0)
        )
        self.stored_bytes += byte_count
        if count + sign:
            self._totals_by_customer[record.customer] = (
                count + sign,
                customer_bytes + byte_count,
            )
        else:
            self._totals_by_customer.pop(record.customer)
