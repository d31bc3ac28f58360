"""Order commands, which ensure that each order runs at most once."""

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

#: Maximum number of attempts remembered as closed without running, so that a
#: delayed begin cannot reopen them.
MAX_CLOSED_ATTEMPTS: Final = 4096
#: Maximum number of expired records that one command removes.
_MAX_EXPIRED_PER_COMMAND: Final = 64
_OUTCOME: Final = 'outcome'


class OrderTable:
    """Handles the commands that begin and finish orders."""

    __slots__ = ('_closed_attempts', 'store')

    def __init__(self, limits: Limits) -> None:
        self.store = OrderStore(limits)
        self._closed_attempts: OrderedDict[str, None] = OrderedDict()

    def begin(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Start an order, or return its outcome if it is already known.

        A repeated begin of the same attempt returns ``start`` again while the
        order is in progress, so the host must send the order at most once
        for each attempt id.

        Raises
        ------
        InvalidResourceError
            If a field is invalid.
        OrderRecordsFullError
            If no record can be added for the customer.
        StaleAttemptError
            If the attempt was closed as not run.
        """
        command, faults = ORDER_BEGIN.normalize(fields, '')
        if faults:
            raise invalid(faults)
        self._remove_expired(now_ms)
        record = self.store.get(command['customer'], command['idempotency_key'])
        if record:
            return _begin_reply(record, command, now_ms)
        if command['attempt_id'] in self._closed_attempts:
            raise StaleAttemptError('the attempt was closed as not run')
        self.store.check_capacity(command['customer'])
        self.store.add(OrderRecord.from_begin(command, now_ms))
        return {_OUTCOME: 'start'}

    def finish(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Record the outcome of an attempt.

        The first definite outcome is final; a repeated finish changes
        nothing. ``done`` replaces ``unknown``, and ``not_run`` removes a
        record without a reported outcome, however old it is, since only the
        host of the attempt may report them.

        Raises
        ------
        InvalidResourceError
            If a field is invalid.
        StaleAttemptError
            If the record belongs to another attempt or does not exist, or
            if its outcome contradicts ``not_run``.
        """
        command, faults = ORDER_FINISH.normalize(fields, '')
        if faults:
            raise invalid(faults)
        record = self.store.get(command['customer'], command['idempotency_key'])
        if record and record.attempt != digest(command['attempt_id']):
            record = None
        if command['result'] == NOT_RUN:
            self._close_not_run(command['attempt_id'], record)
        elif record is None:
            raise StaleAttemptError('there is no order record of this attempt')
        elif record.state != DONE:
            self._store_outcome(record, command, now_ms)
        return {}

    def to_wire(self) -> dict[str, Any]:
        """Return the snapshot form of the table."""
        return {
            'closed': list(self._closed_attempts),
            'records': self.store.to_wire(),
        }

    def load(self, wire: Mapping[str, Any]) -> None:
        """Load the output of ``to_wire`` into an empty table."""
        self._closed_attempts = OrderedDict.fromkeys(wire['closed'])
        self.store.load(wire['records'])

    def _remove_expired(self, now_ms: int) -> None:
        for _ in range(_MAX_EXPIRED_PER_COMMAND):
            oldest = self.store.oldest()
            if not oldest or now_ms - oldest.changed_ms < ORDER_RETENTION_MS:
                return
            self.store.remove(oldest)

    def _close_not_run(
        self, attempt_id: str, record: OrderRecord | None
    ) -> None:
        if record and record.state != IN_PROGRESS:
            raise StaleAttemptError(
                'the order already has another outcome than not_run'
            )
        if record:
            self.store.remove(record)
        self._closed_attempts[attempt_id] = None
        if len(self._closed_attempts) > MAX_CLOSED_ATTEMPTS:
            self._closed_attempts.popitem(last=False)

    def _store_outcome(
        self,
        record: OrderRecord,
        command: Mapping[str, Any],
        now_ms: int,
    ) -> None:
        self.store.remove(record)
        record.state = command['result']
        record.changed_ms = now_ms
        if record.state == DONE:
            record.idempotency_key = ''
            record.status = command['status']
            record.content_type = command['content_type']
            record.body_kept = self.store.can_store(command['body'])
            record.body = command['body'] if record.body_kept else b''
        self.store.add(record)


def _begin_reply(
    record: OrderRecord,
    command: Mapping[str, Any],
    now_ms: int,
) -> dict[str, Any]:
    if record.body_hash != digest(command['body_hash']):
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
    is_own = record.attempt == digest(command['attempt_id'])
    if state == IN_PROGRESS and is_own:
        return {_OUTCOME: 'start'}
    return {_OUTCOME: state}
