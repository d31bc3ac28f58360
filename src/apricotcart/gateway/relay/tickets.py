"""Tickets with which a gateway proves that it has passed a request on."""

from __future__ import annotations

import base64
import binascii
import hashlib
import secrets
import threading
from collections import OrderedDict
from typing import Any, Final

from apricotcart.codec.envelope import Sealer
from apricotcart.codec.record import Record
from apricotcart.errors.tree import CodecError
from apricotcart.gateway.api import ForwardedRequest, Headers
from apricotcart.gateway.relay.errors import InvalidTicketError
from apricotcart.resumption.origins import StreamOrigin
from apricotcart.timers.clock import SteadyUnixClock, boot_clock_s

TICKET: Final = 'Apricotcart-Ticket'
RECEIPT: Final = 'Apricotcart-Receipt'
_TICKET_KIND: Final = 'ticket'
_RECEIPT_KIND: Final = 'receipt'
_INTERNAL: Final = frozenset((TICKET.lower(), RECEIPT.lower()))
# Added or changed by the connection between the gateways.
_FRAMING: Final = 'content-length'
_NONCE_BYTES: Final = 12
_LENGTH_BYTES: Final = 8
# Difference between the clocks of two hosts, and time on the way, up to which a
# ticket is accepted. Wall clocks may be minutes apart; a ticket is used once in
# any case.
_AGE_MAX_S: Final = 300.0
# Used tickets that are remembered, the newest ones. They take some 9 MB.
_MAX_USED: Final = 50_000


class Ticket(Record):
    """What a gateway states about a request that it passes on.

    Attributes
    ----------
    nonce : str
        Makes each ticket unique.
    digest : str
        Digest of method, target, headers and body.
    peer, sender : str
        Hosts that receive and that send the request.
    sender_started_at : float
        When the process of the sender started, in Unix time.
    issued_at : float
        When the ticket was written, in Unix time.
    attempt_id : str
        Attempt id of the caller.
    wait_s : float
        Time to the deadline in seconds.
    version : int
        Version of the desired state that the sender applied.
    send_count : int
        How often the request was written to endpoints before.
    may_have_run : bool
        Whether an endpoint may have run it already.
    is_counted : bool
        Whether the sender has counted it in its retry budget.
    service, software_version : str
        Where the stream began; empty if it has no event yet.
    """

    __slots__ = (
        'attempt_id',
        'digest',
        'is_counted',
        'issued_at',
        'may_have_run',
        'nonce',
        'peer',
        'send_count',
        'sender',
        'sender_started_at',
        'service',
        'software_version',
        'version',
        'wait_s',
    )

    def __init__(
        self,
        *,
        nonce: str,
        digest: str,
        peer: str,
        sender: str,
        sender_started_at: float,
        issued_at: float,
        attempt_id: str,
        wait_s: float,
        version: int,
        send_count: int,
        may_have_run: bool,
        is_counted: bool,
        service: str,
        software_version: str,
    ) -> None:
        self.nonce = nonce
        self.digest = digest
        self.peer = peer
        self.sender = sender
        self.sender_started_at = sender_started_at
        self.issued_at = issued_at
        self.attempt_id = attempt_id
        self.wait_s = wait_s
        self.version = version
        self.send_count = send_count
        self.may_have_run = may_have_run
        self.is_counted = is_counted
        self.service = service
        self.software_version = software_version

    @property
    def origin(self) -> StreamOrigin | None:
        """Where the stream began, None if it has no event yet."""
        if not self.service:
            return None
        return StreamOrigin(
            service=self.service, software_version=self.software_version
        )

    def require_matches(self, message: ForwardedRequest) -> None:
        """Raise if the ticket was issued for another request.

        Raises
        ------
        InvalidTicketError
            If method, target, a header or the body differs.
        """
        digest = digest_of(message, without_internal(message.headers))
        if not secrets.compare_digest(self.digest, digest):
            raise InvalidTicketError('the ticket is for another request')


class Receipt(Record):
    """What a gateway states about its response to a passed-on request.

    Attributes
    ----------
    nonce : str
        Nonce of the ticket.
    send_count : int
        How often the request was written to endpoints until the response.
    is_stream : bool
        Whether the response is a stream of events.
    service, software_version : str
        Where the stream began; empty if it has no event.
    code : str
        Error code; empty if the response is that of an endpoint.
    message : str
        What failed.
    is_not_run : bool
        Whether the request has not run and will not.
    retry_after_s : float or None
        Time in seconds after which the caller may retry.
    """

    __slots__ = (
        'code',
        'is_not_run',
        'is_stream',
        'message',
        'nonce',
        'retry_after_s',
        'send_count',
        'service',
        'software_version',
    )

    def __init__(
        self,
        *,
        nonce: str,
        send_count: int = 0,
        is_stream: bool = False,
        service: str = '',
        software_version: str = '',
        code: str = '',
        message: str = '',
        is_not_run: bool = False,
        retry_after_s: float | None = None,
    ) -> None:
        self.nonce = nonce
        self.send_count = send_count
        self.is_stream = is_stream
        self.service = service
        self.software_version = software_version
        self.code = code
        self.message = message
        self.is_not_run = is_not_run
        self.retry_after_s = retry_after_s

    @property
    def origin(self) -> StreamOrigin | None:
        """Where the stream began, None if it has no event."""
        if not self.service:
            return None
        return StreamOrigin(
            service=self.service, software_version=self.software_version
        )


class TicketAuthority:
    """Issues and verifies the tickets and receipts of one host.

    Parameters
    ----------
    sealer : Sealer
        Authenticates with the cluster secret.
    host : str
        Name of this host.
    clock : SteadyUnixClock
        Tells the time of the tickets.
    """

    __slots__ = ('_clock', '_lock', '_sealer', '_started_at', '_used', 'host')

    def __init__(
        self, sealer: Sealer, host: str, clock: SteadyUnixClock
    ) -> None:
        self.host = host
        self._sealer = sealer
        self._clock = clock
        self._started_at = clock.now_s()
        self._lock = threading.Lock()
        # Nonces of tickets that were accepted, with the time until which they
        # would be accepted again.
        self._used: OrderedDict[str, float] = OrderedDict()

    def issue(self, **fields: Any) -> Ticket:
        """Return a new ticket of this host."""
        return Ticket(
            nonce=secrets.token_hex(_NONCE_BYTES),
            sender=self.host,
            sender_started_at=self._started_at,
            issued_at=self._clock.now_s(),
            **fields,
        )

    def seal_ticket(self, ticket: Ticket) -> str:
        """Return the header value of a ticket."""
        return self._seal(_TICKET_KIND, ticket)

    def seal_receipt(self, receipt: Receipt) -> str:
        """Return the header value of a receipt."""
        return self._seal(_RECEIPT_KIND, receipt)

    def accept(self, headers: Headers) -> Ticket:
        """Return the ticket of a request, which cannot be used again.

        Raises
        ------
        InvalidTicketError
            If it is missing, forged, old, used, or for another host.
        """
        try:
            ticket = Ticket.from_wire(self._open(_TICKET_KIND, TICKET, headers))
        except (CodecError, TypeError, ValueError) as exc:
            raise InvalidTicketError(
                f'the request has no valid ticket: {exc}'
            ) from exc
        if ticket.peer != self.host:
            raise InvalidTicketError('the ticket is for another host')
        if abs(self._clock.now_s() - ticket.issued_at) > _AGE_MAX_S:
            raise InvalidTicketError('the ticket has expired')
        self._mark_used(ticket.nonce)
        return ticket

    def receipt_of(self, headers: Headers, ticket: Ticket) -> Receipt | None:
        """Return the receipt of a response, None without a valid one."""
        try:
            receipt = Receipt.from_wire(
                self._open(_RECEIPT_KIND, RECEIPT, headers)
            )
        except (CodecError, TypeError, ValueError):
            return None
        return receipt if receipt.nonce == ticket.nonce else None

    def _seal(self, kind: str, record: Record) -> str:
        # The kind prevents that any other sealed message is taken for it.
        sealed = self._sealer.seal([kind, record.to_wire()])
        return base64.b64encode(sealed).decode('ascii')

    def _open(self, kind: str, header: str, headers: Headers) -> dict[str, Any]:
        texts = [
            text for name, text in headers if name.lower() == header.lower()
        ]
        if len(texts) != 1:
            raise CodecError(f'{len(texts)} headers {header}')
        try:
            sealed = base64.b64decode(texts[0], validate=True)
        except binascii.Error as exc:
            raise CodecError(f'{header} is not base64') from exc
        found, fields = self._sealer.open(sealed)
        if found != kind or not isinstance(fields, dict):
            raise CodecError(f'{header} holds a message of another kind')
        return fields

    def _mark_used(self, nonce: str) -> None:
        now = boot_clock_s()
        with self._lock:
            while self._used and next(iter(self._used.values())) < now:
                self._used.popitem(last=False)
            if nonce in self._used:
                raise InvalidTicketError('the ticket was used before')
            self._used[nonce] = now + _AGE_MAX_S + _AGE_MAX_S
            if len(self._used) > _MAX_USED:
                self._used.popitem(last=False)


def without_internal(headers: Headers) -> list[tuple[str, str]]:
    """Return headers without those of this package."""
    return [pair for pair in headers if pair[0].lower() not in _INTERNAL]


def digest_of(message: ForwardedRequest, headers: Headers) -> str:
    """Return a digest of a request with given headers."""
    fields: list[bytes | memoryview] = [
        message.method.encode(),
        message.target.encode(),
    ]
    for name, text in headers:
        if name.lower() != _FRAMING:
            fields.append(name.lower().encode())
            fields.append(text.encode())
    fields.append(message.body)
    digest = hashlib.sha256()
    for field in fields:
        # The length separates the fields.
        digest.update(len(field).to_bytes(_LENGTH_BYTES))
        digest.update(field)
    return digest.hexdigest()
