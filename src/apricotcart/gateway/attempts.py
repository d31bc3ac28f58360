"""Runs one attempt at a request, up to its first events or whole answer."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import BrokenEndpointError
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


class AttemptRunner:
    """Sends a request to one destination and returns its response.

    Parameters
    ----------
    sender : Sender
        Sends the requests.
    """

    __slots__ = ('_sender',)

    def __init__(self, sender: Sender) -> None:
        self._sender = sender

    def run(self, call: Call, exchange: Exchange) -> WebResponse | None:
        """Return the response, None if the request is to be repeated.

        Raises
        ------
        ApricotcartError
            If the destination sent no complete response, or no event.
        HedgeLostError
            If another attempt at the request was answered first.
        """
        self._sender.send(exchange)
        if exchange.is_stream and exchange.status == HTTPStatus.OK:
            stream = EventStream(self._sender, call, exchange)
            return WebResponse(exchange.status, stream.headers, stream)
        return self._read_full_response(call, exchange)

    def fail(self, call: Call, exchange: Exchange, exc: BaseException) -> None:
        """Release what a failed attempt occupies."""
        self._sender.fail(call, exchange, exc)

    def release(self, call: Call, exchange: Exchange) -> None:
        """Release what an attempt occupies that was never sent."""
        self._sender.fail(call, exchange, GeneratorExit())

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
        is_failure = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        # While there is another attempt, that one may still succeed.
        is_decisive = not (is_failure and call.attempts.has_second)
        if is_decisive:
            call.attempts.claim_answer(call)
        headers = exchange.caller_headers()
        headers.append(('Content-Length', str(body.size)))
        exchange.upstream.on_run(call, exchange, exchange.sent_at)
        self._sender.complete(call, exchange)
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
        if not is_decisive:
            return None
        is_repeated = is_failure and exchange.upstream.repeats_errors
        if is_repeated and self._sender.may_retry(call):
            call.excluded_endpoints.add(exchange.destination.name)
            return None
        return call.failure_response
