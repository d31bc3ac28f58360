"""One request to one endpoint and its response."""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus
from http.client import HTTPResponse
from typing import Final

from apricotcart.gateway.api import (
    EndpointRequestMetadata,
    HeaderCodec,
    Headers,
    ResponseMetadata,
)
from apricotcart.gateway.call import Call
from apricotcart.gateway.dispatching.endpoint_state import EndpointState
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    CallerLeftError,
    ConnectionEndedError,
    NotExecutedError,
    UnreachableEndpointError,
)
from apricotcart.gateway.exchanges.bodies import (
    append_to,
    hold,
    read_available,
    skip_body,
)
from apricotcart.gateway.exchanges.connections import (
    ConnectionPool,
    EndpointConnection,
)
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


class Exchange:
    """A request to an endpoint.

    Attributes
    ----------
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
    """

    __slots__ = (
        '_call',
        '_conn',
        '_header_codec',
        '_pool',
        '_response',
        'began_at',
        'framing',
        'has_response',
        'headers',
        'held',
        'is_proven',
        'endpoint',
        'sent_at',
        'status',
        'metadata',
    )

    def __init__(
        self,
        call: Call,
        endpoint: EndpointState,
        pool: ConnectionPool,
        header_codec: HeaderCodec,
        memory: ResponseMemory,
    ) -> None:
        self._call = call
        self._pool = pool
        self.held = memory.hold()
        self._header_codec = header_codec
        self._conn: EndpointConnection | None = None
        self.endpoint = endpoint
        self.sent_at: float = 0
        self.began_at: float = 0
        self.is_proven = False
        self.has_response = False
        self.status = 0
        self.framing: Framing | None = None
        self.headers: list[tuple[str, str]] = []

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

    @property
    def is_misdirected(self) -> bool:
        """Whether another endpoint has answered at the address."""
        return self.status == HTTPStatus.MISDIRECTED_REQUEST

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
        conn = self._pool.acquire(self.endpoint.instance.address)
        self._conn = conn
        call.conn.hold(conn)
        self._require_sendable()
        self._write(conn, last_event_id)
        self._read_head(conn)
        self.has_response = True
        self._check_response()

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        BrokenEndpointError
            If the body is truncated.
        SilentEndpointError
            If the body is not complete before the deadline.
        """
        conn = self._connected()
        conn.set_read_timeout(self._call.remaining_s() + _DEADLINE_GRACE_S)
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
        for chunk in self.chunks():
            if body.size + len(chunk) > MAX_BODY_BYTES:
                raise BrokenEndpointError(
                    f'response body exceeds {MAX_BODY_BYTES} bytes'
                )
            append_to(body, chunk)
        return body

    def finish(self) -> None:
        """Release the connection after a complete response."""
        conn = self._connected()
        will_close = self._response.will_close
        self._response.close()
        self._call.conn.release()
        self._conn = None
        if will_close:
            conn.discard()
            return
        self._pool.release(
            self.endpoint.instance.address,
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
        endpoint = self.endpoint
        is_paused = endpoint.notices.pause_left_s(boot_clock_s()) > 0
        if is_paused or not endpoint.accepts_requests:
            raise UnreachableEndpointError(
                'the endpoint is draining or asked for a pause'
            )

    def _check_response(self) -> None:
        if self.metadata.is_not_run:
            raise NotExecutedError(
                f'the endpoint did not run the request: status {self.status}'
            )
        if not self.metadata.is_genuine:
            raise BrokenEndpointError(
                'the response lacks the stamp header of the endpoint'
            )
        if self.metadata.is_encoded:
            raise BrokenEndpointError(
                'the response body has an unrequested content encoding'
            )

    def _write(self, conn: EndpointConnection, last_event_id: str) -> None:
        call = self._call
        remaining_s = call.remaining_s()
        if remaining_s <= 0:
            raise UnreachableEndpointError(
                'the deadline of the request has passed'
            )
        headers = self._header_codec.build_endpoint_headers(
            call.message.headers,
            EndpointRequestMetadata(
                endpoint_id=self.endpoint.instance.instance_id,
                wait_s=remaining_s,
                customer=call.customer_name,
                urgency=call.urgency.levels_above,
                last_event_id=last_event_id,
                cache_source=self.endpoint.cache_source_of(call.request_id),
            ),
        )
        call.send_count += 1
        self.sent_at = boot_clock_s()
        conn.send_request(call.message, headers, remaining_s)

    def _read_head(self, conn: EndpointConnection) -> None:
        response = conn.read_response(
            self._call.remaining_s() + _DEADLINE_GRACE_S
        )
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

    def _matches_attempt(self, *, is_first: bool) -> bool:
        attempt_id = self.metadata.attempt_id
        if attempt_id:
            return attempt_id == self._call.metadata.attempt_id
        # Without an id, only the first response on a connection is known to
        # belong to this request.
        if self.metadata.is_genuine or not is_first:
            raise BrokenEndpointError('the response has no attempt id')
        return True

    def _connected(self) -> EndpointConnection:
        if self._conn is None:
            raise BrokenEndpointError('the connection is already closed')
        return self._conn


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
