"""Forwards a request to endpoints until one responds."""

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
from apricotcart.gateway.exchanges.exchange import Exchange
from apricotcart.gateway.exchanges.streams import EventStream
from apricotcart.gateway.sender import Sender
from apricotcart.observability.decisions import (
    REQUEST_ANSWERED,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.response import WebResponse

# Statuses that a caller takes as a guarantee that its request was not run.
_NOT_RUN_STATUSES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
# Delay before a caller may retry a request that no endpoint accepted.
_RETRY_AFTER_S: Final = 0.3
_SEND_FAILURES: Final = (
    BrokenEndpointError,
    NotExecutedError,
    SilentEndpointError,
    UnreachableEndpointError,
)


class Forwarder:
    """Forwards requests and retries them on failures.

    Parameters
    ----------
    sender : Sender
        Sends the requests.
    """

    __slots__ = ('_sender',)

    def __init__(self, sender: Sender) -> None:
        self._sender = sender

    def forward(self, call: Call) -> WebResponse:
        """Forward a request and return the response.

        Raises
        ------
        ApricotcartError
            If no endpoint responded. Its class states whether the request
            may have run.
        """
        while True:
            exchange = self._sender.acquire(call)
            try:
                response = self._attempt(call, exchange)
            except _SEND_FAILURES as exc:
                self._sender.fail(call, exchange, exc)
                response = self._after_failure(call, exc)
            except BaseException as exc:
                self._sender.fail(call, exchange, exc)
                raise
            if response is not None:
                return response

    def _attempt(self, call: Call, exchange: Exchange) -> WebResponse | None:
        self._sender.send(exchange)
        if exchange.is_stream and exchange.status == HTTPStatus.OK:
            stream = EventStream(self._sender, call, exchange)
            return WebResponse(exchange.status, stream.headers, stream)
        return self._read_full_response(call, exchange)

    def _read_full_response(
        self, call: Call, exchange: Exchange
    ) -> WebResponse | None:
        body = exchange.body()
        status = exchange.status
        if status in _NOT_RUN_STATUSES:
            # The status is not passed on, since the endpoint does not state
            # that it did not run the request.
            raise BrokenEndpointError(
                f'the endpoint responded with status {status}'
            )
        headers = exchange.caller_headers()
        headers.append(('Content-Length', str(body.size)))
        exchange.upstream.on_run(call, exchange, exchange.sent_at)
        self._sender.complete(call, exchange)
        is_failure = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        call.failure_response = WebResponse(status, headers, body)
        log_decision(
            REQUEST_ANSWERED,
            request_id=call.metadata.attempt_id,
            route=call.route.name,
            kind=str(call.route.kind),
            **exchange.destination.log_fields,
            attempt=call.send_count,
            status=status,
            framing=exchange.framing,
            duration_s=boot_clock_s() - call.started_at,
            bytes_out=body.size,
        )
        is_repeated = is_failure and exchange.upstream.repeats_errors
        if is_repeated and self._sender.may_retry(call):
            call.excluded_endpoints.add(exchange.destination.name)
            return None
        return call.failure_response

    def _after_failure(
        self,
        call: Call,
        exc: ApricotcartError,
    ) -> WebResponse | None:
        """Return None to retry the request, or the caller's response."""
        if call.is_caller_gone:
            raise CallerLeftError(
                'the caller has closed its connection'
            ) from exc
        if self._may_continue(call, exc):
            return None
        if call.failure_response is None:
            raise _final_error(call, exc) from exc
        return call.failure_response

    def _may_continue(self, call: Call, exc: ApricotcartError) -> bool:
        if isinstance(exc, UnreachableEndpointError):
            return self._sender.may_try_another_endpoint(call)
        return self._sender.may_retry(call)


def _final_error(call: Call, exc: ApricotcartError) -> ApricotcartError:
    if not call.may_have_run:
        return BusyError(exc.message, retry_after_s=_RETRY_AFTER_S)
    if isinstance(exc, (BrokenEndpointError, SilentEndpointError)):
        return exc
    return BrokenEndpointError(exc.message)
