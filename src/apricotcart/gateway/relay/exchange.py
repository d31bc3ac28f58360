"""One request that is passed on to another gateway, and its response."""

from __future__ import annotations

from http.client import HTTPResponse
from typing import Any, Final

from apricotcart.gateway.api import HeaderCodec
from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import BrokenEndpointError
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.exchanges.exchange import (
    Destination,
    Exchange,
    Upstream,
)
from apricotcart.gateway.relay.refusals import error_of
from apricotcart.gateway.relay.tickets import (
    TICKET,
    Receipt,
    Ticket,
    TicketAuthority,
    digest_of,
    without_internal,
)
from apricotcart.membership.peers import PeerGateway
from apricotcart.responses.memory import ResponseMemory

# More than that of a gateway for its endpoint, whose time-out it reports.
_DEADLINE_GRACE_S: Final = 0.2


class RelayExchange(Exchange):
    """A request that is passed on to another gateway.

    Attributes
    ----------
    peer : PeerGateway
        The other gateway.
    receipt : Receipt or None
        What it states about its response; None before that.
    """

    grace_s = _DEADLINE_GRACE_S

    def __init__(
        self,
        call: Call,
        upstream: Upstream[Any],
        pool: ConnectionPool,
        header_codec: HeaderCodec,
        memory: ResponseMemory,
        peer: PeerGateway,
        tickets: TicketAuthority,
    ) -> None:
        destination = Destination(
            peer.host, peer.address, {'peer': peer.host, 'zone': peer.zone}
        )
        super().__init__(
            call, destination, upstream, pool, header_codec, memory
        )
        self.peer = peer
        self.receipt: Receipt | None = None
        self._tickets = tickets
        self._ticket: Ticket | None = None

    @property
    def is_stream(self) -> bool:
        """Whether the other gateway reads the body as a stream of events."""
        return self.receipt is not None and self.receipt.is_stream

    @property
    def request_id(self) -> str:
        """Attempt id of the caller."""
        return self._call.metadata.attempt_id

    def _build_headers(
        self, last_event_id: str, remaining_s: float
    ) -> list[tuple[str, str]]:
        call = self._call
        origin = call.origin
        headers = without_internal(
            self._header_codec.build_relayed_headers(
                call.message.headers, last_event_id
            )
        )
        self._ticket = self._tickets.issue(
            digest=digest_of(call.message, headers),
            peer=self.peer.host,
            attempt_id=call.metadata.attempt_id,
            wait_s=remaining_s,
            version=call.routing.version,
            send_count=call.send_count,
            may_have_run=call.may_have_run,
            is_counted=call.relay.is_counted,
            service='' if origin is None else origin.service,
            software_version=(
                '' if origin is None else origin.software_version
            ),
        )
        headers.append((TICKET, self._tickets.seal_ticket(self._ticket)))
        return headers

    def _store_head(self, response: HTTPResponse) -> None:
        super()._store_head(response)
        if self._ticket is not None:
            self.receipt = self._tickets.receipt_of(self.headers, self._ticket)
        self.headers = without_internal(self.headers)

    def _matches_attempt(self, *, is_first: bool) -> bool:
        if self.receipt is None:
            raise BrokenEndpointError(
                'the response of the gateway has no valid receipt'
            )
        return True

    def _check_response(self) -> None:
        receipt = self.receipt
        if receipt is None:
            return
        self._call.send_count = max(self._call.send_count, receipt.send_count)
        if receipt.code:
            raise error_of(receipt)
        if not self.metadata.is_genuine:
            raise BrokenEndpointError(
                'the response lacks the stamp header of the endpoint'
            )
