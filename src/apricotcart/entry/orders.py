"""Order records, committed before a request is sent and finished after it."""

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
_RETRY_DELAY_S = 0.2
_RETRY_AFTER_S = 1.0
# Control hosts do not store larger answers.
MAX_STORED_BYTES = 65_536


class OrderAttempt:
    """An attempt of an order; only one attempt may send the request."""

    __slots__ = ('attempt_id', 'customer', 'idempotency_key')

    def __init__(self, customer: str, idempotency_key: str) -> None:
        """Initialize the attempt with a unique id."""
        self.customer = customer
        self.idempotency_key = idempotency_key
        self.attempt_id = uuid.uuid4().hex

    def order_key(self) -> str:
        """Return the key sent to the service, unique across customers."""
        return f'{self.customer}/{self.idempotency_key}'

    def fields(self) -> WireMessage:
        """Return the message fields that identify the attempt."""
        return {
            'customer': self.customer,
            'idempotency_key': self.idempotency_key,
            'attempt_id': self.attempt_id,
        }


class OrderRecorder:
    """Begins and finishes order records on the control hosts.

    Parameters
    ----------
    link : ControlLink
        Connection to the control hosts.
    host : str
        Name of this host.
    incarnation : int
        Start time of this process, which tells it from earlier ones.
    """

    __slots__ = ('_host', '_incarnation', '_link', '_pending')

    def __init__(self, link: ControlLink, host: str, incarnation: int) -> None:
        """Start the thread that resends unacknowledged finish commands."""
        self._link = link
        self._host = host
        self._incarnation = incarnation
        self._pending: queue.Queue[WireMessage] = queue.Queue()
        threading.Thread(
            target=self._resend_pending,
            daemon=True,
            name='orders',
        ).start()

    @property
    def unacknowledged(self) -> int:
        """Number of finish commands that no control host has acknowledged.

        This includes the one that is being sent: a planned stop must not end
        the process before it is answered.
        """
        return self._pending.unfinished_tasks

    def begin(
        self,
        attempt: OrderAttempt,
        body: bytes,
        traceparent: str,
    ) -> WebResponse | None:
        """Record the attempt; return None if it may send the request now.

        Returns
        -------
        WebResponse or None
            The stored answer of an earlier attempt, or None.

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
            # The record may have been committed nevertheless. This attempt
            # will not send, so it is finished as not run as soon as a leader
            # can be reached.
            self.finish_later(attempt, 'not_run')
            raise OrderNotRecordedError(
                f'the order was not recorded: {exc}',
                retry_after_s=_RETRY_AFTER_S,
            ) from exc
        return _parse_begin_reply(reply)

    def finish(
        self,
        attempt: OrderAttempt,
        response: WebResponse,
        traceparent: str,
    ) -> None:
        """Store the answer; on failure, retry in the background."""
        body = b''.join(response.chunks)
        command = self._finish_command(attempt, 'done')
        command['status'] = response.status
        command['content_type'] = response.content_type()
        # One byte above the bound is enough for the control hosts to see that
        # the answer is too large; more would only fill the replicated log.
        command['body'] = body[: MAX_STORED_BYTES + 1]
        self._send(command, traceparent)

    def finish_later(self, attempt: OrderAttempt, outcome: str) -> None:
        """Finish a record in the background."""
        self._pending.put(self._finish_command(attempt, outcome))

    def _finish_command(
        self, attempt: OrderAttempt, outcome: str
    ) -> WireMessage:
        return {
            'kind': 'order_finish',
            'result': outcome,
            **attempt.fields(),
        }

    def _send(self, command: WireMessage, traceparent: str = '') -> None:
        try:
            reply = self._link.command(command, _FINISH_TIMEOUT_S, traceparent)
        except ApricotcartError as exc:
            _LOG.warning(
                'finishing an order record failed, will be retried: %s', exc
            )
            self._pending.put(command)
            return
        if not reply.get('ok'):
            _LOG.error('finishing an order record was refused: %s', reply)

    def _resend_pending(self) -> None:
        for command in iter(self._pending.get, None):
            try:
                self._send(command)
            except Exception:
                _LOG.exception('finishing an order record failed unexpectedly')
            self._pending.task_done()
            if self.unacknowledged:
                time.sleep(_RETRY_DELAY_S)


def _parse_begin_reply(reply: WireMessage) -> WebResponse | None:
    if not reply.get('ok'):
        raise OrderNotRecordedError(
            f'the order was refused: {reply.get("code")}',
            reason=reply.get('code'),
        )
    outcome = reply['outcome']
    if outcome == 'start':
        return None
    if outcome == 'finished':
        return _stored_response(reply)
    raise _begin_error(outcome)


def _begin_error(outcome: str) -> ApricotcartError:
    if outcome == 'conflict':
        return OrderConflictError(
            'the idempotency key was used with another body'
        )
    if outcome == 'in_progress':
        return OrderInProgressError(
            'another attempt of this order is in progress',
            retry_after_s=_RETRY_AFTER_S,
        )
    return OrderUnknownError('the outcome of this order is unknown')


def _stored_response(reply: WireMessage) -> WebResponse:
    if not reply.get('body_kept', True):
        raise OrderAnswerLostError(
            'the order was run, but its answer was not stored'
        )
    response = WebResponse.from_bytes(
        reply['body'],
        reply['content_type'],
        reply['status'],
    )
    response.headers.append(('Idempotent-Replay', 'true'))
    return response
