"""One send of a request to one endpoint, and its answer."""

from __future__ import annotations

from collections.abc import Iterator
from http.client import HTTPResponse
from typing import Final

from apricotcart.gateway.api import AnswerTerms, Dialect, SendTerms
from apricotcart.gateway.call import Call
from apricotcart.gateway.connections import (
    ConnectionPool,
    EndpointConnection,
    read_some,
)
from apricotcart.gateway.endpoint_state import EndpointRow
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    CallerLeftError,
    NotExecutedError,
    UnreachableEndpointError,
)
from apricotcart.timers.clock import steady_s

# Time after the deadline in which an endpoint's own answer to the deadline
# may still arrive.
_ANSWER_GRACE_S: Final = 0.1
# Answers to earlier requests that are skipped on one connection.
_SKIPPED: Final = 3
_EVENT_STREAM: Final = 'text/event-stream'


class Exchange:
    """A request at an endpoint.

    Attributes
    ----------
    status : int
        Status of the answer.
    headers : list of (str, str)
        Headers of the answer.
    terms : AnswerTerms
        What the headers say.
    sent_at : float
        When the request was written, in seconds.
    """

    __slots__ = (
        '_call',
        '_conn',
        '_dialect',
        '_pool',
        '_response',
        'headers',
        'row',
        'sent_at',
        'status',
        'terms',
    )

    def __init__(
        self,
        call: Call,
        row: EndpointRow,
        pool: ConnectionPool,
        dialect: Dialect,
    ) -> None:
        """Prepare the exchange."""
        self._call = call
        self._pool = pool
        self._dialect = dialect
        self._conn: EndpointConnection | None = None
        self.row = row
        self.sent_at: float = 0
        self.status = 0
        self.headers: list[tuple[str, str]] = []

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return any(
            name.lower() == 'content-type' and text.startswith(_EVENT_STREAM)
            for name, text in self.headers
        )

    def age_s(self) -> float | None:
        """Give the time since the request was written, None if it was not."""
        return steady_s() - self.sent_at if self.sent_at else None

    def send(self, last_event_id: str) -> None:
        """Write the request and read the head of the answer.

        Raises
        ------
        UnreachableEndpointError, CallerLeftError
            If nothing was written.
        NotExecutedError
            If the endpoint states that it did not run the request.
        BrokenEndpointError, SilentEndpointError
            If it may have run.
        """
        call = self._call
        conn = self._pool.take(self.row.instance.address)
        self._conn = conn
        call.conn = conn
        if call.is_left:
            raise CallerLeftError('the caller left before the request')
        if not self.row.takes_requests:
            # It began to drain while the connection was made, which takes
            # seconds if packets are lost.
            raise UnreachableEndpointError('the endpoint drains by now')
        self._write(conn, last_event_id)
        self._read_head(conn)
        self._check()

    def chunks(self) -> Iterator[bytes]:
        """Give the body as it arrives.

        Raises
        ------
        BrokenEndpointError
            If it ends early.
        SilentEndpointError
            If it does not end before the deadline.
        """
        conn = self._connected()
        size = 0
        while True:
            conn.bound_reads(self._call.left_s() + _ANSWER_GRACE_S)
            chunk = read_some(self._response)
            if not chunk:
                break
            size += len(chunk)
            yield chunk
        if conn.is_aborted:
            raise BrokenEndpointError('this host ended the read')
        expected = self._expected_bytes()
        if expected is not None and size < expected:
            raise BrokenEndpointError(f'{size} of {expected} bytes came')

    def body(self) -> bytes:
        """Read the whole body.

        Raises
        ------
        BrokenEndpointError, SilentEndpointError
            As `chunks` does.
        """
        return b''.join(self.chunks())

    def finish(self) -> None:
        """Keep the connection, since the answer was read whole."""
        conn = self._connected()
        will_close = self._response.will_close
        self._response.close()
        self._call.conn = None
        self._conn = None
        if will_close:
            conn.discard()
            return
        self._pool.give_back(
            self.row.instance.address,
            conn,
            self.terms.keeps_s,
        )

    def abandon(self) -> None:
        """Close the connection, which ends the request at the endpoint."""
        self._call.conn = None
        if self._conn is not None:
            self._conn.discard()
            self._conn = None

    def _check(self) -> None:
        if self.terms.is_not_run:
            raise NotExecutedError(f'the endpoint answered {self.status}')
        if not self.terms.is_genuine:
            raise BrokenEndpointError('the answer bears no receipt')
        if self.terms.is_encoded:
            raise BrokenEndpointError('the body is encoded')

    def _write(self, conn: EndpointConnection, last_event_id: str) -> None:
        call = self._call
        left_s = call.left_s()
        if left_s <= 0:
            raise UnreachableEndpointError('the deadline has passed')
        headers = self._dialect.endpoint_headers(
            call.message.headers,
            SendTerms(
                endpoint_id=self.row.instance.instance_id,
                wait_s=left_s,
                customer=call.customer_name,
                urgency=call.urgency.place,
                last_event_id=last_event_id,
                cache_source=self.row.cache_source_of(call.request_id),
            ),
        )
        call.sends += 1
        self.sent_at = steady_s()
        conn.send_request(call.message, headers, left_s)

    def _read_head(self, conn: EndpointConnection) -> None:
        response = conn.read_answer(self._call.left_s() + _ANSWER_GRACE_S)
        for _ in range(_SKIPPED):
            self._take_head(response)
            if self._is_own():
                return
            # An answer to an earlier request stands before ours.
            _drain(response)
            response = conn.read_next(self._call.message.method)
        raise BrokenEndpointError('answers of other requests')

    def _take_head(self, response: HTTPResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers = response.getheaders()
        self.terms: AnswerTerms = self._dialect.answer_terms(self.headers)

    def _is_own(self) -> bool:
        returned = self.terms.attempt_id
        if returned:
            return returned == self._call.terms.attempt_id
        if self.terms.is_genuine:
            raise BrokenEndpointError('an answer without an id')
        return True

    def _expected_bytes(self) -> int | None:
        if self._call.message.method == 'HEAD' or self._response.chunked:
            return None
        text = self._response.getheader('Content-Length')
        return int(text) if text and text.isdigit() else None

    def _connected(self) -> EndpointConnection:
        if self._conn is None:
            raise BrokenEndpointError('the connection is closed')
        return self._conn


def _drain(response: HTTPResponse) -> None:
    if response.will_close:
        raise BrokenEndpointError('an answer of another request')
    chunk = read_some(response)
    while chunk:
        chunk = read_some(response)
    response.close()
