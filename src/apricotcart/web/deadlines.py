"""Connections with deadlines for the headers and body of a request."""

from __future__ import annotations

import socket
import ssl
import struct
from contextlib import ExitStack, suppress
from typing import Any, Final

from cheroot.server import HTTPConnection
from cherrypy._cpwsgi_server import CPWSGIHTTPRequest

from apricotcart.errors.tree import ApricotcartError
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.answer_writer import AnswerWriter
from apricotcart.web.body_memory import BodyPlace
from apricotcart.web.body_stream import BodyStream, ChunkedBody, LengthBody
from apricotcart.web.caller_reader import CallerReader
from apricotcart.web.open_connections import Activity
from apricotcart.web.request_head import RequestHead

# Connections without an answer that may be under way, or whose end is sent.
_CLOSED_AT_ONCE: Final = frozenset((Activity.IDLE, Activity.CLOSING))
_HEAD: Final = b'HEAD'
# Value of SO_LINGER that discards unsent data and resets the connection.
_LINGER_RESET: Final = struct.pack('ii', 1, 0)
# The rest of a body that the application did not read is discarded up to this
# size and time, so that the connection can be kept.
_MAX_DISCARD_BYTES: Final = 65_536
_MAX_DISCARD_S: Final = 0.5


class DeadlineRequest(CPWSGIHTTPRequest):  # type: ignore[misc]
    """Request with one deadline for its headers and one for its body."""

    rfile: Any

    @property
    def is_head(self) -> bool:
        """Whether the request asks for the headers of an answer only."""
        # An unreadable request line has no method.
        return getattr(self, 'method', b'') == _HEAD

    def write(self, chunk: bytes) -> None:
        """Write a part of the answer's body, of which HEAD has none."""
        if not self.is_head:
            super().write(chunk)

    def simple_response(self, status: str, msg: str = '') -> None:
        """Write an answer of the server itself."""
        super().simple_response(status, '' if self.is_head else msg)

    def parse_request(self) -> None:
        """Read the headers before their deadline, then set that of the body."""
        server = self.server
        reader = self.conn.rfile.socket_reader
        reader.limit_time(self.conn.start_reading())
        super().parse_request()
        reader.limit_time(server.read_timeout_s(server.body_timeout_s))
        self.conn.socket.settimeout(server.timeout)

    def respond(self) -> None:
        """Call the application, and write its response or queue it."""
        self.conn.activity = Activity.ANSWERING
        writer = self.conn.answer_writer
        if writer is None:
            super().respond()
            return
        super().respond()
        writer.send_available()

    def open_body(self) -> None:
        """Read the body, if there is one, with a place that is counted."""
        reader = self.conn.rfile
        if self.chunked_read:
            place = BodyPlace(self.server.body_memory, self.server)
            self.rfile = ChunkedBody(reader, place, self.server.body_turns)
        elif self.rfile.remaining:
            place = BodyPlace(self.server.body_memory, self.server)
            self.rfile = LengthBody(reader, place, self.rfile.remaining)

    def send_headers(self) -> None:
        """Write the headers; a leaving server closes the connection after.

        So does one to which a large or slow body is still under way.
        """
        body = self.rfile
        if isinstance(body, BodyStream) and not body.is_complete:
            self._discard_rest(body)
        if self.server.is_leaving:
            self.close_connection = True
        sock = self.conn.socket
        if sock.gettimeout() != self.server.timeout:
            # Reading the body has set what was left to its deadline.
            sock.settimeout(self.server.timeout)
        super().send_headers()

    def _discard_rest(self, body: BodyStream) -> None:
        """Discard what is left of a body; close the connection if it is much.

        What is left would be taken for the next request.
        """
        self.conn.rfile.socket_reader.shorten_time(_MAX_DISCARD_S)
        if not self.close_connection:
            with suppress(ApricotcartError, OSError):
                _discard(body, _MAX_DISCARD_BYTES)
        body.place.release()
        if not body.is_complete:
            self.close_connection = True
            self.conn.has_unread_body = True


class DeadlineConnection(HTTPConnection):
    """Connection whose requests have deadlines.

    Attributes
    ----------
    activity : Activity
        What the connection is doing.
    resets_on_close : bool
        Whether to end with a reset, which tells that an answer is not whole.
    has_unread_body : bool
        Whether a part of the last body was not read. A close would then reset
        the connection, and the peer might lose the answer.
    keeps_open : bool
        Whether the connection is kept once the queued answer is sent.
    answer_writer : AnswerWriter or None
        Queues whole answers; None for TLS, whose answers are written at once.
    head : RequestHead
        Head of the next request, as far as it was received.
    """

    RequestHandlerClass = DeadlineRequest

    def __init__(self, server: Any, sock: Any, *args: Any) -> None:
        """Replace the reader with one that has a deadline."""
        super().__init__(server, sock, *args)
        self.rfile = CallerReader(sock, self.rbufsize)
        self.activity = Activity.QUEUED
        self.resets_on_close = False
        self.has_unread_body = False
        self.keeps_open = False
        self.answer_writer: AnswerWriter | None = None
        if not isinstance(sock, ssl.SSLSocket):
            self.answer_writer = AnswerWriter(self)
            self.wfile: Any = self.answer_writer
        self.head = RequestHead()
        server.open_connections.add(self)

    @property
    def has_unsent(self) -> bool:
        """Whether a part of the answer is queued."""
        writer = self.answer_writer
        return writer is not None and writer.has_unsent

    def communicate(self) -> Any:
        """Read a request and answer it; return whether to keep it open.

        It is kept as well while a part of the answer is queued.
        """
        self.activity = Activity.READING
        if self.answer_writer is not None:
            self.answer_writer.start_answer()
        self.keeps_open = False
        if self._is_secured():
            keeps_open = super().communicate()  # type: ignore[no-untyped-call]
            self.keeps_open = bool(keeps_open)
        return self.keeps_open or self.has_unsent

    def reset_on_close(self) -> None:
        """Close the connection later with a reset instead of a normal end."""
        self.resets_on_close = True

    def send_unsent(self) -> bool:
        """Go on with a queued answer; return whether a part is left.

        The connection is not kept if its caller has left or is too slow.
        """
        writer = self.answer_writer
        if writer is None:
            return False
        with suppress(OSError):
            writer.send_available()
            if not writer.has_unsent:
                writer.discard()
                return False
            if not writer.is_too_slow():
                return True
        self.resets_on_close = True
        self.keeps_open = False
        writer.discard()
        return False

    def start_reading(self) -> float:
        """Let the reads return the head; return the time left for it."""
        head = self.head
        # Before the head is forgotten, since another thread may ask whether
        # anything has arrived.
        self.rfile.socket_reader.put_back(bytes(head.received))
        self.head = RequestHead()
        self.server.head_memory.release(head)
        timeout_s = self.server.read_timeout_s(self.server.header_timeout_s)
        return float(min(timeout_s, head.ends_at - boot_clock_s()))

    def close(self) -> None:
        """Close the socket; a server that leaves waits for the peer first."""
        if self.has_unsent:
            self.resets_on_close = True
        if self.answer_writer is not None:
            self.answer_writer.discard()
        self.server.head_memory.release(self.head)
        waits = self.server.is_leaving or self.has_unread_body
        lingers = waits and self._send_end()
        if lingers and self.server.linger(self):
            return
        with ExitStack() as stack:
            stack.callback(self.server.open_connections.remove, self)
            super().close()

    def _is_secured(self) -> bool:
        """Return whether a request can be read, after the handshake of TLS."""
        sock = self.socket
        if not isinstance(sock, ssl.SSLSocket) or sock.version():
            return True
        sock.settimeout(self.server.header_timeout_s)
        try:
            sock.do_handshake()
        except OSError:
            return False
        sock.settimeout(self.server.timeout)
        self.ssl_env = self.server.ssl_adapter.get_environ(sock)
        return True

    def _close_kernel_socket(self) -> None:
        if self.resets_on_close:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
            return
        super()._close_kernel_socket()  # type: ignore[misc]

    def _send_end(self) -> bool:
        """Send the end of the stream; return whether to wait for the peer.

        A close resets the connection if the peer has sent bytes that were not
        read, and discards what the peer has not received yet.
        """
        if self.resets_on_close or self.activity in _CLOSED_AT_ONCE:
            return False
        try:
            # Not the method of a TLS socket, which would stop encrypting.
            socket.socket.shutdown(self.socket, socket.SHUT_WR)
        except OSError:
            return False
        return True


def _discard(body: BodyStream, max_bytes: int) -> None:
    """Read and discard up to so many bytes of a body."""
    left = max_bytes
    while left > 0:
        discarded = body.read(left)
        if not discarded:
            return
        left -= len(discarded)
