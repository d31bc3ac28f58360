"""Order records: committed before the request is sent, closed after it."""

from __future__ import annotations

import hashlib
import logging
import queue
import threading
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
        self._unsent: queue.SimpleQueue[WireMessage] = queue.SimpleQueue()
        threading.Thread(
            target=self._repeat,
            daemon=True,
            name='orders',
        ).start()

    @property
    def unsent(self) -> int:
        """Closings that no control host has acknowledged yet."""
        return self._unsent.qsize()

    def begin(
        self,
        attempt: OrderAttempt,
        body: bytes,
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
            reply = self._link.command(command, _BEGIN_TIMEOUT_S)
        except ApricotcartError as exc:
            # The record may be committed all the same; since this attempt
            # will not send, it says so as soon as a leader can be reached.
            self.finish_later(attempt, 'not_run')
            raise OrderNotRecordedError(
                f'the order was not recorded: {exc}',
                retry_after_s=_RETRY_AFTER_S,
            ) from exc
        return _outcome(reply)

    def finish(self, attempt: OrderAttempt, response: WebResponse) -> None:
        """Store the answer; repeated in the background if it fails."""
        body = b''.join(response.chunks)
        command = self._closing(attempt, 'done')
        command['status'] = response.status
        command['content_type'] = dict(response.headers).get('Content-Type', '')
        command['body'] = body
        self._send(command)

    def finish_later(self, attempt: OrderAttempt, result: str) -> None:
        """Close a record in the background."""
        self._unsent.put(self._closing(attempt, result))

    def _closing(self, attempt: OrderAttempt, result: str) -> WireMessage:
        return {
            'kind': 'order_finish',
            'result': result,
            'status': 0,
            'content_type': '',
            'body': b'',
            **attempt.fields(),
        }

    def _send(self, command: WireMessage) -> None:
        try:
            self._link.command(command, _FINISH_TIMEOUT_S)
        except ApricotcartError as exc:
            _LOG.warning('closing of an order is repeated: %s', exc)
            self._unsent.put(command)

    def _repeat(self) -> None:
        pause = threading.Event()
        while True:
            self._send(self._unsent.get())
            pause.wait(_RETRY_PAUSE_S if self.unsent else 0)


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
    if outcome == 'conflict':
        raise OrderConflictError('the key belongs to another body')
    if outcome == 'in_progress':
        raise OrderInProgressError(
            'another attempt of this order is in progress',
            retry_after_s=_RETRY_AFTER_S,
        )
    raise OrderUnknownError('the outcome of this order is not known')


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
