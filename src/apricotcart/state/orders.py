"""Commands on orders: each order runs at most once."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any, Final

from apricotcart.state.errors import StaleAttemptError
from apricotcart.state.limits import ORDER_RETENTION_MS, Limits
from apricotcart.state.order_commands import ORDER_BEGIN, ORDER_FINISH
from apricotcart.state.order_records import (
    DONE,
    IN_PROGRESS,
    NOT_RUN,
    OrderRecord,
    OrderStore,
    digest,
)
from apricotcart.state.replies import invalid

#: Attempts closed as not run, kept so that a delayed begin cannot reopen
#: them.
MAX_CLOSED_ATTEMPTS: Final = 4096
#: Bound on the records that one command removes.
_MAX_EXPIRED_PER_COMMAND: Final = 64
_OUTCOME: Final = 'outcome'


class OrderTable:
    """Begins and finishes orders."""

    __slots__ = ('_closed', 'store')

    def __init__(self, limits: Limits) -> None:
        """Start empty."""
        self.store = OrderStore(limits)
        self._closed: OrderedDict[str, None] = OrderedDict()

    def begin(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Start an order, or say what became of it.

        The same attempt gets ``start`` again while it is in progress; its
        host must send at most once for each attempt id.

        Raises
        ------
        InvalidResourceError
            If a field is invalid.
        OrderRecordsFullError
            If there is no room for the customer's record.
        StaleAttemptError
            If the attempt was closed as not run.
        """
        full, faults = ORDER_BEGIN.normalize(fields, '')
        if faults:
            raise invalid(faults)
        self._expire(now_ms)
        record = self.store.get(full['customer'], full['idempotency_key'])
        if record:
            return _outcome(record, full, now_ms)
        if full['attempt_id'] in self._closed:
            raise StaleAttemptError('the attempt was closed as not run')
        self.store.check_room(full['customer'])
        self.store.add(OrderRecord.from_begin(full, now_ms))
        return {_OUTCOME: 'start'}

    def finish(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Record the outcome of an attempt.

        The first definite outcome stands; a repeated finish changes
        nothing. ``done`` replaces ``unknown``, and ``not_run`` removes a
        record without a reported outcome however old it is, since only the
        holder of the attempt may report them.

        Raises
        ------
        InvalidResourceError
            If a field is invalid.
        StaleAttemptError
            If the record belongs to another attempt, is gone, or has an
            outcome that rules out ``not_run``.
        """
        full, faults = ORDER_FINISH.normalize(fields, '')
        if faults:
            raise invalid(faults)
        record = self.store.get(full['customer'], full['idempotency_key'])
        if record and record.attempt != digest(full['attempt_id']):
            record = None
        if full['result'] == NOT_RUN:
            self._close(full['attempt_id'], record)
        elif record is None:
            raise StaleAttemptError('no record of this attempt')
        elif record.state != DONE:
            self._store_outcome(record, full, now_ms)
        return {}

    def to_wire(self) -> dict[str, Any]:
        """Give the table as a mapping."""
        return {
            'closed': list(self._closed),
            'records': self.store.to_wire(),
        }

    def load(self, wire: Mapping[str, Any]) -> None:
        """Fill an empty table from ``to_wire``."""
        self._closed = OrderedDict.fromkeys(wire['closed'])
        self.store.load(wire['records'])

    def _expire(self, now_ms: int) -> None:
        for _ in range(_MAX_EXPIRED_PER_COMMAND):
            oldest = self.store.oldest()
            if not oldest or now_ms - oldest.changed_ms < ORDER_RETENTION_MS:
                return
            self.store.remove(oldest)

    def _close(self, attempt_id: str, record: OrderRecord | None) -> None:
        if record and record.state != IN_PROGRESS:
            raise StaleAttemptError('the attempt is recorded as sent')
        if record:
            self.store.remove(record)
        self._closed[attempt_id] = None
        if len(self._closed) > MAX_CLOSED_ATTEMPTS:
            self._closed.popitem(last=False)

    def _store_outcome(
        self,
        record: OrderRecord,
        full: Mapping[str, Any],
        now_ms: int,
    ) -> None:
        self.store.remove(record)
        record.state = full['result']
        record.changed_ms = now_ms
        if record.state == DONE:
            record.idempotency_key = ''
            record.status = full['status']
            record.content_type = full['content_type']
            record.body_kept = self.store.has_room_for(full['body'])
            record.body = full['body'] if record.body_kept else b''
        self.store.add(record)


def _outcome(
    record: OrderRecord,
    full: Mapping[str, Any],
    now_ms: int,
) -> dict[str, Any]:
    if record.body_hash != digest(full['body_hash']):
        return {_OUTCOME: 'conflict'}
    state = record.state_at(now_ms)
    if state == DONE:
        return {
            _OUTCOME: 'finished',
            'status': record.status,
            'content_type': record.content_type,
            'body': record.body,
            'body_kept': record.body_kept,
        }
    is_own = record.attempt == digest(full['attempt_id'])
    if state == IN_PROGRESS and is_own:
        return {_OUTCOME: 'start'}
    return {_OUTCOME: state}
