"""Takes a request through endpoints until there is an answer."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    BusyError,
    CallerLeftError,
    NotExecutedError,
    SilentEndpointError,
    UnreachableEndpointError,
)
from apricotcart.gateway.exchange import Exchange
from apricotcart.gateway.sender import Sender
from apricotcart.gateway.streams import EventStream
from apricotcart.observability.decisions import (
    REQUEST_ANSWERED,
    log_decision,
)
from apricotcart.timers.clock import steady_s
from apricotcart.web.response import WebResponse

# Statuses that promise a caller that its request was not run.
_PROMISES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
# When a request may come back that an endpoint did not take, in seconds.
_RETURN_S: Final = 0.3
_SEND_FAILURES: Final = (
    BrokenEndpointError,
    NotExecutedError,
    SilentEndpointError,
    UnreachableEndpointError,
)


class Forwarder:
    """Gives the answers to requests.

    Parameters
    ----------
    sender : Sender
        Sends the requests.
    """

    __slots__ = ('_sender',)

    def __init__(self, sender: Sender) -> None:
        """Keep the sender."""
        self._sender = sender

    def answer(self, call: Call) -> WebResponse:
        """Give the answer to a request.

        Raises
        ------
        ApricotcartError
            If no endpoint gave one; it says whether the request was run.
        """
        self._sender.policy.on_request(call.service, steady_s())
        while True:
            exchange = self._sender.acquire(call)
            try:
                answer = self._attempt(call, exchange)
            except _SEND_FAILURES as exc:
                self._sender.fail(call, exchange, exc)
                answer = self._after_failure(call, exc)
            except BaseException as exc:
                self._sender.fail(call, exchange, exc)
                raise
            if answer is not None:
                return answer

    def _attempt(self, call: Call, exchange: Exchange) -> WebResponse | None:
        exchange.send('')
        if exchange.is_stream and exchange.status == HTTPStatus.OK:
            stream = EventStream(self._sender, call, exchange)
            return WebResponse(exchange.status, stream.headers, stream)
        return self._whole(call, exchange)

    def _whole(self, call: Call, exchange: Exchange) -> WebResponse | None:
        body = exchange.body()
        status = exchange.status
        if status in _PROMISES:
            # The endpoint does not state that the request was not run.
            raise BrokenEndpointError(f'the endpoint answered {status}')
        headers = self._sender.dialect.caller_headers(exchange.headers)
        headers.append(('Content-Length', str(len(body))))
        self._sender.note_begun(call, exchange.sent_at)
        self._sender.succeed(call, exchange)
        is_failure = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        call.failure = WebResponse(status, headers, [body])
        log_decision(
            REQUEST_ANSWERED,
            request_id=call.terms.attempt_id,
            route=call.route.name,
            kind=str(call.route.kind),
            endpoint=exchange.row.instance.instance_id,
            attempt=call.sends,
            status=status,
            duration_s=steady_s() - call.started_at,
            bytes_out=len(body),
        )
        if is_failure and self._sender.may_repeat(call):
            call.excluded.add(exchange.row.instance.instance_id)
            return None
        return call.failure

    def _after_failure(
        self,
        call: Call,
        exc: ApricotcartError,
    ) -> WebResponse | None:
        """Let the request be sent again, or give what the caller gets."""
        if call.is_left:
            raise CallerLeftError('the caller has left') from exc
        if self._may_go_on(call, exc):
            return None
        if call.failure is None:
            raise _final_failure(call, exc) from exc
        return call.failure

    def _may_go_on(self, call: Call, exc: ApricotcartError) -> bool:
        if isinstance(exc, UnreachableEndpointError):
            return self._sender.may_try_another(call)
        return self._sender.may_repeat(call)


def _final_failure(call: Call, exc: ApricotcartError) -> ApricotcartError:
    if not call.has_run:
        return BusyError(exc.message, retry_after_s=_RETURN_S)
    if isinstance(exc, (BrokenEndpointError, SilentEndpointError)):
        return exc
    return BrokenEndpointError(exc.message)
