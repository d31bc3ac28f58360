"""Order records: committed before the request is sent, closed after it."""

from __future__ import annotations

import hashlib
import logging
import queue
import threading
import time
import uuid

from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.errors import (
    OrderAnswerLostError,
    OrderConflictError,
    OrderInProgressError,
    OrderNotRecordedError,
    OrderUnknownError,
)
from apricotcart.errors.tree import ApricotcartError
from apricotcart.transport.api import WireMessage
from apricotcart.web.response import WebResponse

_LOG = logging.getLogger(__name__)
_BEGIN_TIMEOUT_S = 3.0
_FINISH_TIMEOUT_S = 3.0
_RETRY_PAUSE_S = 0.2
_RETRY_AFTER_S = 1.0
# Stored answers beyond this size are not kept by the control hosts.
MAX_STORED_BYTES = 65_536


class OrderAttempt:
    """The one attempt of an order that may send."""

    __slots__ = ('attempt_id', 'customer', 'idempotency_key')

    def __init__(self, customer: str, idempotency_key: str) -> None:
        """Give the attempt its id."""
        self.customer = customer
        self.idempotency_key = idempotency_key
        self.attempt_id = uuid.uuid4().hex

    def order_key(self) -> str:
        """Give the key that the service sees, unique over customers."""
        return f'{self.customer}/{self.idempotency_key}'

    def fields(self) -> WireMessage:
        """Give the fields that name the attempt."""
        return {
            'customer': self.customer,
            'idempotency_key': self.idempotency_key,
            'attempt_id': self.attempt_id,
        }


class OrderLedger:
    """Begins and closes order records on the control hosts.

    Parameters
    ----------
    link : ControlLink
        Leads to the control hosts.
    host, incarnation : str
        Identity of this process.
    """

    __slots__ = ('_host', '_incarnation', '_link', '_unsent')

    def __init__(self, link: ControlLink, host: str, incarnation: int) -> None:
        """Start the thread that repeats unacknowledged closings."""
        self._link = link
        self._host = host
        self._incarnation = incarnation
        self._unsent: queue.Queue[WireMessage] = queue.Queue()
        threading.Thread(
            target=self._repeat,
            daemon=True,
            name='orders',
        ).start()

    @property
    def unsent(self) -> int:
        """Closings that no control host has acknowledged yet.

        This includes the one that is being sent: a planned stop must not end
        the process before its answer.
        """
        return self._unsent.unfinished_tasks

    def begin(
        self,
        attempt: OrderAttempt,
        body: bytes,
        traceparent: str,
    ) -> WebResponse | None:
        """Record the attempt; None if it may send now.

        Returns
        -------
        WebResponse or None
            The stored answer of an earlier attempt.

        Raises
        ------
        OrderNotRecordedError
            If the record could not be committed; nothing was run.
        OrderInProgressError, OrderUnknownError, OrderConflictError
            If the order was begun before.
        """
        command = {
            'kind': 'order_begin',
            'body_hash': hashlib.sha256(body).hexdigest(),
            'host': self._host,
            'incarnation': self._incarnation,
            **attempt.fields(),
        }
        try:
            reply = self._link.command(
                command,
                _BEGIN_TIMEOUT_S,
                traceparent,
            )
        except ApricotcartError as exc:
            # The record may be committed all the same; since this attempt
            # will not send, it says so as soon as a leader can be reached.
            self.finish_later(attempt, 'not_run')
            raise OrderNotRecordedError(
                f'the order was not recorded: {exc}',
                retry_after_s=_RETRY_AFTER_S,
            ) from exc
        return _outcome(reply)

    def finish(
        self,
        attempt: OrderAttempt,
        response: WebResponse,
        traceparent: str,
    ) -> None:
        """Store the answer; repeated in the background if it fails."""
        body = b''.join(response.chunks)
        command = self._closing(attempt, 'done')
        command['status'] = response.status
        command['content_type'] = response.content_type()
        # One byte above the bound is enough for the table to note that the
        # answer is not kept; more would only fill the log.
        command['body'] = body[: MAX_STORED_BYTES + 1]
        self._send(command, traceparent)

    def finish_later(self, attempt: OrderAttempt, outcome: str) -> None:
        """Close a record in the background."""
        self._unsent.put(self._closing(attempt, outcome))

    def _closing(self, attempt: OrderAttempt, outcome: str) -> WireMessage:
        return {
            'kind': 'order_finish',
            'result': outcome,
            **attempt.fields(),
        }

    def _send(self, command: WireMessage, traceparent: str = '') -> None:
        try:
            reply = self._link.command(command, _FINISH_TIMEOUT_S, traceparent)
        except ApricotcartError as exc:
            _LOG.warning('closing of an order is repeated: %s', exc)
            self._unsent.put(command)
            return
        if not reply.get('ok'):
            _LOG.error('closing of an order was refused: %s', reply)

    def _repeat(self) -> None:
        for command in iter(self._unsent.get, None):
            try:
                self._send(command)
            except Exception:
                _LOG.exception('closing of an order failed')
            self._unsent.task_done()
            if self.unsent:
                time.sleep(_RETRY_PAUSE_S)


def _outcome(reply: WireMessage) -> WebResponse | None:
    if not reply.get('ok'):
        raise OrderNotRecordedError(
            f'the order was refused: {reply.get("code")}',
            reason=reply.get('code'),
        )
    outcome = reply['outcome']
    if outcome == 'start':
        return None
    if outcome == 'finished':
        return _stored(reply)
    raise _refusal(outcome)


def _refusal(outcome: str) -> ApricotcartError:
    if outcome == 'conflict':
        return OrderConflictError('the key belongs to another body')
    if outcome == 'in_progress':
        return OrderInProgressError(
            'another attempt of this order is in progress',
            retry_after_s=_RETRY_AFTER_S,
        )
    return OrderUnknownError('the outcome of this order is not known')


def _stored(reply: WireMessage) -> WebResponse:
    if not reply.get('body_kept', True):
        raise OrderAnswerLostError('the order was run; its answer is not kept')
    response = WebResponse.from_bytes(
        reply['body'],
        reply['content_type'],
        reply['status'],
    )
    response.headers.append(('Idempotent-Replay', 'true'))
    return response
