"""One request to an endpoint or another gateway, and its response."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from http.client import HTTPResponse
from typing import Any, Final, Generic, TypeVar

from apricotcart.gateway.api import (
    HeaderCodec,
    Headers,
    ResponseMetadata,
)
from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    CallerLeftError,
    ConnectionEndedError,
    UnreachableEndpointError,
)
from apricotcart.gateway.exchanges.bodies import (
    append_to,
    hold,
    read_available,
    skip_body,
)
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.exchanges.connections import EndpointConnection
from apricotcart.responses.body_buffer import BodyBuffer
from apricotcart.responses.framing import Framing, FramingError
from apricotcart.responses.memory import ResponseMemory
from apricotcart.timers.clock import boot_clock_s

# Time after the deadline during which the endpoint's own time-out response may
# still arrive.
_DEADLINE_GRACE_S: Final = 0.1
# Late responses to earlier requests that are skipped on one connection.
_MAX_SKIPPED_RESPONSES: Final = 3
# Maximum size of a response that is read as a whole.
MAX_BODY_BYTES: Final = 16_777_216
_EVENT_STREAM: Final = 'text/event-stream'


class Destination:
    """The endpoint or gateway that a request is sent to.

    Attributes
    ----------
    name : str
        Id of the endpoint, or name of the gateway.
    address : str
        Its address as ``IP:PORT``.
    log_fields : mapping
        Fields of log lines that name it.
    """

    __slots__ = ('address', 'log_fields', 'name')

    def __init__(
        self, name: str, address: str, log_fields: Mapping[str, Any]
    ) -> None:
        self.name = name
        self.address = address
        self.log_fields = log_fields


class Exchange(ABC):
    """A request and its response.

    Attributes
    ----------
    destination : Destination
        Where the request is sent.
    status : int
        HTTP status of the response.
    headers : list of (str, str)
        Headers of the response.
    metadata : ResponseMetadata
        Metadata from these headers.
    sent_at : float
        When the request was written, in seconds.
    began_at : float
        When the first event of the response arrived, in seconds; 0 before.
    is_proven : bool
        Whether the endpoint has survived the request.
    has_response : bool
        Whether the headers of the response have been read.
    framing : Framing or None
        What says where the body ends; None before the headers.
    held : HeldBytes
        What the response holds in memory.
    upstream : Upstream
        Keeps account of the exchange.
    """

    # Time after the deadline during which the time-out response of the other
    # side may still arrive.
    grace_s = _DEADLINE_GRACE_S

    def __init__(
        self,
        call: Call,
        destination: Destination,
        upstream: Upstream[Any],
        pool: ConnectionPool,
        header_codec: HeaderCodec,
        memory: ResponseMemory,
    ) -> None:
        self.destination = destination
        self.upstream = upstream
        self.held = memory.hold()
        self.sent_at: float = 0
        self.began_at: float = 0
        self.is_proven = False
        self.has_response = False
        self.status = 0
        self.framing: Framing | None = None
        self.headers: list[tuple[str, str]] = []
        self._call = call
        self._pool = pool
        self._header_codec = header_codec
        self._conn: EndpointConnection | None = None

    @property
    def is_stream(self) -> bool:
        """Whether the body is read as a stream of events.

        On a streaming route, a body of another type that ends with its
        connection is too: nothing else tells whether it is complete.
        """
        if self._call.message.method == 'HEAD':
            return False
        content_type = _content_type_of(self.headers)
        if content_type == _EVENT_STREAM:
            return True
        is_framed = self.framing is not Framing.CLOSE
        return self._call.is_stream and not (content_type and is_framed)

    def age_s(self) -> float | None:
        """Return the time since the request was written, None if it was not."""
        return boot_clock_s() - self.sent_at if self.sent_at else None

    def send(self, last_event_id: str) -> None:
        """Write the request and read the headers of the response.

        Raises
        ------
        UnreachableEndpointError, CallerLeftError
            If the request was not written.
        NotExecutedError
            If the endpoint states that it did not run the request.
        BrokenEndpointError, SilentEndpointError
            If the request may have run.
        """
        call = self._call
        conn = self._pool.acquire(self.destination.address)
        self._conn = conn
        call.conn.hold(conn)
        self._require_sendable()
        self._write(conn, last_event_id)
        self._read_head(conn)
        self.has_response = True
        self._check_response()

    def caller_headers(self) -> list[tuple[str, str]]:
        """Return the headers of the response for the caller."""
        return self._header_codec.build_caller_headers(self.headers)

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        BrokenEndpointError
            If the body is truncated.
        SilentEndpointError
            If the body is not complete before the deadline.
        """
        conn = require_open(self._conn)
        conn.set_read_timeout(self._call.remaining_s() + self.grace_s)
        size = 0
        while True:
            chunk = read_available(self._response)
            if not chunk:
                break
            size += len(chunk)
            yield chunk
        if conn.is_aborted:
            raise BrokenEndpointError('this host aborted the connection')
        # The library counts down the length.
        missing = self._response.length
        if missing:
            raise ConnectionEndedError(
                f'response body truncated: {missing} bytes after {size} missing'
            )

    def body(self) -> BodyBuffer:
        """Read the complete body.

        Raises
        ------
        BrokenEndpointError, SilentEndpointError
            As in `chunks`, or if it takes too much memory.
        """
        body = BodyBuffer(self.held)
        try:
            _fill(body, self.chunks())
        except BaseException:
            body.discard()
            raise
        return body

    def finish(self) -> None:
        """Release the connection after a complete response."""
        conn = require_open(self._conn)
        will_close = self._response.will_close
        self._response.close()
        self._call.conn.release()
        self._conn = None
        if will_close:
            conn.discard()
            return
        self._pool.release(
            self.destination.address,
            conn,
            self.metadata.keeps_s,
        )

    def abandon(self) -> None:
        """Close the connection, which cancels the request at the endpoint.

        What was received of the response is discarded.
        """
        hold(self.held, 0)
        self._call.conn.release()
        if self._conn is not None:
            self._conn.discard()
            self._conn = None

    def _require_sendable(self) -> None:
        """Check what may have changed while the connection was established.

        That takes seconds if packets are lost.
        """
        if self._call.is_caller_gone:
            raise CallerLeftError(
                'the caller closed its connection before the request was sent'
            )
        if self._call.is_host_ending:
            raise UnreachableEndpointError('this host is shutting down')

    @abstractmethod
    def _build_headers(
        self, last_event_id: str, remaining_s: float
    ) -> list[tuple[str, str]]:
        """Return the headers of the request."""

    @abstractmethod
    def _check_response(self) -> None:
        """Raise if the headers of the response show that it is a failure."""

    @abstractmethod
    def _matches_attempt(self, *, is_first: bool) -> bool:
        """Return whether the response belongs to this request.

        Raises
        ------
        BrokenEndpointError
            If that is not known.
        """

    def _write(self, conn: EndpointConnection, last_event_id: str) -> None:
        call = self._call
        remaining_s = call.remaining_s()
        if remaining_s <= 0:
            raise UnreachableEndpointError(
                'the deadline of the request has passed'
            )
        headers = self._build_headers(last_event_id, remaining_s)
        self.sent_at = boot_clock_s()
        conn.send_request(call.message, headers, remaining_s)

    def _read_head(self, conn: EndpointConnection) -> None:
        response = conn.read_response(self._call.remaining_s() + self.grace_s)
        is_first = not conn.is_reused
        for _ in range(_MAX_SKIPPED_RESPONSES):
            self._store_head(response)
            if self._matches_attempt(is_first=is_first):
                return
            is_first = False
            # Skips a late response to an earlier request.
            skip_body(response)
            response = conn.read_next_response()
        raise BrokenEndpointError(
            'got only responses to other requests on the connection'
        )

    def _store_head(self, response: HTTPResponse) -> None:
        self._response = response
        self.status = response.status
        self.framing = _framing_of(response)
        self.headers = response.getheaders()
        self.metadata: ResponseMetadata = (
            self._header_codec.parse_response_headers(
                self.headers, response.status
            )
        )


SomeExchange = TypeVar('SomeExchange', bound=Exchange)


class Upstream(ABC, Generic[SomeExchange]):
    """Where requests are sent: endpoints, or other gateways.

    Keeps account of each exchange.
    """

    # Whether an exchange that ends with an error status may be repeated. False
    # where the other side repeats requests itself.
    repeats_errors: bool

    @abstractmethod
    def acquire(self, call: Call) -> SomeExchange | None:
        """Return an exchange for a request, None if this upstream has none.

        Raises
        ------
        ApricotcartError
            If the request must not be sent.
        """

    @abstractmethod
    def on_response(self, exchange: SomeExchange) -> None:
        """Record what the headers of a response say, or that none came."""

    @abstractmethod
    def on_run(
        self, call: Call, exchange: SomeExchange, began_at: float
    ) -> None:
        """Record that the request was run, from a time in seconds."""

    @abstractmethod
    def on_stream_begun(self, call: Call, exchange: SomeExchange) -> None:
        """Record the first event of a stream."""

    @abstractmethod
    def on_stream_resumed(self, call: Call, exchange: SomeExchange) -> None:
        """Record that a stream goes on in this exchange."""

    @abstractmethod
    def on_event(self, call: Call, exchange: SomeExchange) -> None:
        """Record a later event of a stream."""

    @abstractmethod
    def on_complete(self, call: Call, exchange: SomeExchange) -> None:
        """Release what a complete exchange occupies."""

    @abstractmethod
    def on_failure(
        self, call: Call, exchange: SomeExchange, exc: BaseException
    ) -> None:
        """Release what a failed exchange occupies, and record the failure."""


def require_open(conn: EndpointConnection | None) -> EndpointConnection:
    """Return a connection, or raise if the exchange has closed it.

    Raises
    ------
    BrokenEndpointError
        If there is none.
    """
    if conn is None:
        raise BrokenEndpointError('the connection is already closed')
    return conn


def _fill(body: BodyBuffer, chunks: Iterator[bytes]) -> None:
    for chunk in chunks:
        if body.size + len(chunk) > MAX_BODY_BYTES:
            raise BrokenEndpointError(
                f'response body exceeds {MAX_BODY_BYTES} bytes'
            )
        append_to(body, chunk)


def _content_type_of(headers: Headers) -> str:
    for name, text in headers:
        if name.lower() == 'content-type':
            return text.partition(';')[0].strip().lower()
    return ''


def _framing_of(response: HTTPResponse) -> Framing:
    try:
        return Framing.of_response(response)
    except FramingError as exc:
        raise BrokenEndpointError(str(exc)) from exc
