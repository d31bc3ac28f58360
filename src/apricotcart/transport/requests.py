"""Requests and answers between processes over pynng."""

from __future__ import annotations

import logging
import os
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack, closing, suppress
from typing import TYPE_CHECKING, Any, Self

import pynng

from apricotcart.codec.envelope import Sealer
from apricotcart.errors.tree import (
    ApricotcartError,
    CodecError,
    NotLeaderError,
    UnavailableError,
)
from apricotcart.transport.api import (
    MAX_MESSAGE_BYTES,
    RequestClient,
    RequestHandler,
    WireMessage,
)

if TYPE_CHECKING:
    from apricotcart.transport.tls import TlsFiles

_LOG = logging.getLogger(__name__)
_NONCE_BYTES = 12
_MS_PER_S = 1000
_NO_RESEND_MS = -1
_RECONNECT_MIN_MS = 20
_RECONNECT_MAX_MS = 500
# pynng writes an answer after the call that sends it has returned.
_WRITE_S = 0.05


class NngRequestClient(RequestClient):
    """Client side of a connection to another process."""

    __slots__ = ('_sealer', '_socket', 'address')

    def __init__(
        self,
        address: str,
        sealer: Sealer,
        tls: TlsFiles | None = None,
    ) -> None:
        """Dial the address in the background."""
        self.address = address
        self._sealer = sealer
        self._socket = pynng.Req0(
            tls_config=tls.client_config() if tls else None,
        )
        # The socket never resends a request; retries are left to the caller.
        self._socket.resend_time = _NO_RESEND_MS
        self._socket.recv_max_size = MAX_MESSAGE_BYTES
        self._socket.reconnect_time_min = _RECONNECT_MIN_MS
        self._socket.reconnect_time_max = _RECONNECT_MAX_MS
        self._socket.dial(address, block=False)

    def call(self, message: WireMessage, timeout_s: float) -> WireMessage:
        """Send a request and wait for its answer."""
        nonce = os.urandom(_NONCE_BYTES)
        sealed = self._sealer.seal([nonce, message])
        sealed_answer = self._exchange(sealed, timeout_s)
        return self._verify_answer(sealed_answer, nonce)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _exchange(self, sealed: bytes, timeout_s: float) -> bytes:
        try:
            # Another thread may close the socket at any time, so that the
            # context can neither be created nor closed.
            with closing(self._socket.new_context()) as context:
                return _send_and_receive(context, sealed, timeout_s)
        except pynng.NNGException as exc:
            raise UnavailableError(
                f'no answer from {self.address}: {exc}',
            ) from exc

    def _verify_answer(self, sealed_answer: bytes, nonce: bytes) -> WireMessage:
        # The nonce binds the answer to this request, so that a recorded answer
        # cannot be replayed.
        answer_nonce, answer = self._sealer.open(sealed_answer)
        if answer_nonce != nonce:
            raise CodecError(
                'the nonce of the answer belongs to another request'
            )
        message: WireMessage = answer
        return message


class NngRequestServer:
    """Server side, which answers requests on several threads.

    Parameters
    ----------
    address : str
        Address to listen on.
    handler : RequestHandler
        Answers each request.
    sealer : Sealer
        Verifies requests and seals answers.
    workers : int
        Number of threads, which is the number of concurrent requests.
    tls : TlsFiles or None
        Certificate files if the address is a TLS address.
    """

    __slots__ = (
        '_ended',
        '_handler',
        '_is_finishing',
        '_running',
        '_sealer',
        '_socket',
        '_threads',
    )

    def __init__(
        self,
        address: str,
        handler: RequestHandler,
        sealer: Sealer,
        workers: int,
        tls: TlsFiles | None = None,
    ) -> None:
        """Listen on the address."""
        self._handler = handler
        self._running = 0
        self._is_finishing = False
        self._ended = threading.Condition()
        self._sealer = sealer
        self._socket = pynng.Rep0(
            tls_config=tls.server_config() if tls else None,
        )
        self._socket.recv_max_size = MAX_MESSAGE_BYTES
        self._socket.listen(address)
        self._threads = [
            threading.Thread(
                target=self._serve_requests, daemon=True, name='rpc'
            )
            for _ in range(workers)
        ]

    def start(self) -> Self:
        """Start the threads that answer requests."""
        for thread in self._threads:
            thread.start()
        return self

    def finish(self, timeout_s: float) -> bool:
        """Wait until what is being answered has its answers.

        Requests that arrive from now on are not run: the client is told to
        ask another process.

        Returns
        -------
        bool
            False if that took longer than ``timeout_s`` seconds.
        """
        with self._ended:
            self._is_finishing = True
            has_ended = self._ended.wait_for(
                lambda: not self._running, timeout_s
            )
        time.sleep(_WRITE_S)
        return has_ended

    def close(self) -> None:
        """Close the socket, which stops the threads."""
        self._socket.close()

    def _serve_requests(self) -> None:
        context = self._socket.new_context()
        while True:
            try:
                request = context.recv()
            except pynng.NNGException:
                break
            try:
                self._answer_counted(context, request)
            except Exception:
                _LOG.exception('a request was not answered')
        with suppress(pynng.NNGException):
            context.close()

    def _answer_counted(self, context: pynng.Context, request: bytes) -> None:
        with self._ended:
            is_run = not self._is_finishing
            self._running += is_run
        with ExitStack() as stack:
            stack.callback(self._count_end, is_run=is_run)
            self._answer_request(
                context, request, self._call_handler if is_run else _refuse
            )

    def _count_end(self, *, is_run: bool) -> None:
        with self._ended:
            self._running -= is_run
            self._ended.notify_all()

    def _answer_request(
        self,
        context: pynng.Context,
        request: bytes,
        answer: Callable[[WireMessage], WireMessage],
    ) -> None:
        try:
            nonce, message = self._sealer.open(request)
        except (CodecError, ValueError, TypeError) as exc:
            _LOG.warning('rejected an invalid request: %s', exc)
            return
        try:
            context.send(self._seal(nonce, answer(message)))
        except pynng.NNGException as exc:
            _LOG.warning('failed to send an answer: %s', exc)

    def _seal(self, nonce: bytes, reply: WireMessage) -> bytes:
        """Return the bytes of a reply, or of an error if it has none."""
        try:
            return self._sealer.seal([nonce, reply])
        except Exception:
            _LOG.exception('an answer cannot be encoded')
        failure = error_reply(ApricotcartError('internal failure'))
        return self._sealer.seal([nonce, failure])

    def _call_handler(self, message: WireMessage) -> WireMessage:
        try:
            return self._handler.answer(message)
        except ApricotcartError as exc:
            return error_reply(exc)
        except Exception:
            _LOG.exception('request %s failed', message.get('kind'))
            return error_reply(ApricotcartError('internal failure'))


def _refuse(message: WireMessage) -> WireMessage:
    return error_reply(NotLeaderError('this host is stopping'))


def error_reply(exc: ApricotcartError) -> WireMessage:
    """Return the wire form of an error."""
    return {
        'ok': False,
        'code': exc.code,
        'message': exc.message,
        'context': exc.context,
    }


def _send_and_receive(
    context: pynng.Context, sealed: bytes, timeout_s: float
) -> bytes:
    _set_timeouts(context, max(1, int(timeout_s * _MS_PER_S)))
    context.send(sealed)
    answer: bytes = context.recv()
    return answer


def _set_timeouts(context: Any, timeout_ms: int) -> None:
    """Set both timeouts of a context.

    pynng only supports timeouts of sockets, which the threads share.
    """
    lib = pynng.lib
    handle = context.context
    for option in (b'recv-timeout', b'send-timeout'):
        pynng.check_err(lib.nng_ctx_set_ms(handle, option, timeout_ms))
