"""Application that takes over requests from other gateways."""

from __future__ import annotations

from typing import Any

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.api import Headers, RequestMetadata
from apricotcart.gateway.application import (
    GatewayApplication,
    GuardedResponse,
)
from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import NotReadyError
from apricotcart.gateway.exchanges.streams import EventStream
from apricotcart.gateway.reachability.api import Reach, ReachView
from apricotcart.gateway.refusals import (
    build_refusal,
    log_refusal,
    log_unexpected_error,
)
from apricotcart.gateway.relay.errors import CutOffError, InvalidTicketError
from apricotcart.gateway.relay.refusals import receipt_of_error
from apricotcart.gateway.relay.tickets import (
    RECEIPT,
    Receipt,
    Ticket,
    TicketAuthority,
    without_internal,
)
from apricotcart.observability.decisions import (
    REQUEST_TAKEN_OVER,
    log_decision,
)
from apricotcart.resumption.errors import StreamVersionGoneError
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.request import Environ, WebRequest
from apricotcart.web.response import WebResponse


class RelayApplication(GatewayApplication):
    """Serves requests that other gateways pass on, like those of callers.

    Parameters
    ----------
    tickets : TicketAuthority
        Verifies the tickets of the requests.
    view : ReachView
        Tells whether this host reaches endpoints.
    """

    __slots__ = ('_tickets', '_view')

    def __init__(
        self, *, tickets: TicketAuthority, view: ReachView, **parts: Any
    ) -> None:
        super().__init__(**parts)
        self._tickets = tickets
        self._view = view

    def _response(
        self,
        environ: Environ,
        headers: Headers,
        guard: GuardedResponse,
    ) -> WebResponse:
        started_at = boot_clock_s()
        try:
            ticket = self._tickets.accept(headers)
        except InvalidTicketError as exc:
            metadata = RequestMetadata()
            log_refusal(self._state, metadata, exc, started_at)
            return build_refusal(self._header_codec, metadata, exc)
        return self._answer(environ, headers, guard, ticket)

    def _answer(
        self,
        environ: Environ,
        headers: Headers,
        guard: GuardedResponse,
        ticket: Ticket,
    ) -> WebResponse:
        started_at = boot_clock_s()
        metadata = RequestMetadata(attempt_id=ticket.attempt_id)
        send_count = ticket.send_count
        try:
            call = self._take_over(environ, headers, ticket, started_at)
            response = self._start(call, environ, guard)
            receipt = _receipt_of(ticket, call, response)
        except ApricotcartError as exc:
            log_refusal(self._state, metadata, exc, started_at)
            response = build_refusal(self._header_codec, metadata, exc)
            receipt = receipt_of_error(ticket.nonce, exc, send_count)
        except Exception:
            log_unexpected_error(metadata)
            failure = ApricotcartError('internal error')
            response = build_refusal(self._header_codec, metadata, failure)
            receipt = receipt_of_error(ticket.nonce, failure, send_count)
        sealed = self._tickets.seal_receipt(receipt)
        response.headers = without_internal(response.headers)
        response.headers.append((RECEIPT, sealed))
        return response

    def _take_over(
        self,
        environ: Environ,
        headers: Headers,
        ticket: Ticket,
        started_at: float,
    ) -> Call:
        if self._view.reach(started_at) is Reach.CUT_OFF:
            raise CutOffError('this host reaches no endpoint')
        self._refuse_if_leaving(0)
        self._state.wait_until_known(ticket.wait_s)
        if self._state.version < ticket.version:
            raise NotReadyError(
                'this host does not have the desired state of the sender yet'
            )
        forwarded = without_internal(headers)
        metadata = self._header_codec.parse_request_headers(forwarded)
        metadata.wait_s = ticket.wait_s
        call = self._call(
            WebRequest(environ),
            forwarded,
            metadata,
            started_at,
            ticket.origin,
        )
        ticket.require_matches(call.message)
        _require_service(call)
        call.relay.is_taken_over = True
        call.relay.is_counted = ticket.is_counted
        call.send_count = ticket.send_count
        call.may_have_run = ticket.may_have_run
        log_decision(
            REQUEST_TAKEN_OVER,
            request_id=metadata.attempt_id,
            route=call.route.name,
            kind=str(call.route.kind),
            customer=call.customer_name,
            sender=ticket.sender,
            attempt=ticket.send_count + 1,
            deadline_s=call.remaining_s(),
        )
        return call


def _receipt_of(ticket: Ticket, call: Call, response: WebResponse) -> Receipt:
    origin = call.origin
    return Receipt(
        nonce=ticket.nonce,
        send_count=call.send_count,
        is_stream=isinstance(response.chunks, EventStream),
        service='' if origin is None else origin.service,
        software_version='' if origin is None else origin.software_version,
    )


def _require_service(call: Call) -> None:
    origin = call.origin
    if origin is None:
        return
    if origin.service not in {split.service for split in call.route.splits}:
        raise StreamVersionGoneError(
            'the route no longer leads to the service of the stream',
            software=origin.software_version,
        )
