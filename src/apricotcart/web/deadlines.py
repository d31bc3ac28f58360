"""Connections with deadlines for the headers and body of a request."""

from __future__ import annotations

import socket
from contextlib import ExitStack, suppress
from typing import Any, Final

from cheroot import wsgi
from cheroot.makefile import StreamReader
from cheroot.server import HTTPConnection
from cherrypy._cpwsgi_server import CPWSGIHTTPRequest

from apricotcart.timers.deadline_reader import DeadlineReader
from apricotcart.web.open_connections import Activity
from apricotcart.web.request import CONNECTION_KEY

# Connections without an answer that may be under way, or whose end is sent.
_CLOSED_AT_ONCE: Final = frozenset((Activity.IDLE, Activity.CLOSING))


class InterruptibleReader(DeadlineReader):
    """Reads from a socket until a deadline or until another thread ends it."""

    def __init__(self, sock: Any) -> None:
        """Create a reader of the socket."""
        super().__init__(sock)
        self._is_reading = False
        self._is_ended = False
        self._has_received = False

    def readinto(self, buffer: Any) -> int | None:
        """Read into the buffer; raise TimeoutError at the end."""
        self._is_reading = True
        size = super().readinto(buffer)
        self._is_reading = False
        if size:
            self._has_received = True
        elif self._is_ended:
            # cheroot recognises time-outs by this text.
            raise TimeoutError('timed out')
        return size

    def end(self) -> None:
        """Let the read in progress and those that follow time out."""
        self._is_ended = True
        self.limit_time(0)
        # The watcher of callers takes the end of reading for a caller that
        # left, so it is only for a thread that waits in a read.
        if self._is_reading:
            self._shut_down()

    def end_unstarted(self) -> None:
        """End reading as if the peer had closed, if it has sent nothing."""
        if not self._has_received:
            self._shut_down()

    def _shut_down(self) -> None:
        with suppress(OSError):
            # Not the method of a TLS socket, which would stop decrypting.
            socket.socket.shutdown(self._sock, socket.SHUT_RD)


class CallerReader(StreamReader):
    """Buffered reader over a socket with a deadline."""

    def __init__(self, sock: Any, bufsize: int) -> None:
        """Create a buffered reader of the socket."""
        self.socket_reader = InterruptibleReader(sock)
        # Skips the parent's constructor, which creates its own socket reader.
        super(StreamReader, self).__init__(self.socket_reader, bufsize)
        self.bytes_read = 0


class DeadlineRequest(CPWSGIHTTPRequest):  # type: ignore[misc]
    """Request with one deadline for its headers and one for its body."""

    def parse_request(self) -> None:
        """Read the headers before their deadline, then set that of the body."""
        server = self.server
        reader = self.conn.rfile.socket_reader
        reader.limit_time(server.read_timeout_s(server.header_timeout_s))
        super().parse_request()
        reader.limit_time(server.read_timeout_s(server.body_timeout_s))
        self.conn.socket.settimeout(server.timeout)

    def respond(self) -> None:
        """Call the application and write its whole response."""
        self.conn.activity = Activity.ANSWERING
        super().respond()

    def send_headers(self) -> None:
        """Write the headers; a leaving server closes the connection after."""
        if self.server.is_leaving:
            self.close_connection = True
        super().send_headers()


class DeadlineConnection(HTTPConnection):
    """Connection whose requests have deadlines.

    Attributes
    ----------
    activity : Activity
        What the connection is doing.
    resets_on_close : bool
        Whether to end with a reset, which tells that an answer is not whole.
    """

    RequestHandlerClass = DeadlineRequest

    def __init__(self, server: Any, sock: Any, *args: Any) -> None:
        """Replace the reader with one that has a deadline."""
        super().__init__(server, sock, *args)
        self.rfile = CallerReader(sock, self.rbufsize)
        self.activity = Activity.QUEUED
        self.resets_on_close = False
        server.open_connections.add(self)

    def communicate(self) -> Any:
        """Read a request and answer it; return whether to keep it open."""
        self.activity = Activity.READING
        return super().communicate()  # type: ignore[no-untyped-call]

    def close(self) -> None:
        """Close the socket; a server that leaves waits for the peer first."""
        lingers = self.server.is_leaving and self._send_end()
        if lingers and self.server.linger(self):
            return
        with ExitStack() as stack:
            stack.callback(self.server.open_connections.remove, self)
            super().close()

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


class ConnectionGateway(wsgi.Gateway_10):
    """WSGI gateway that passes the connection to the application."""

    def get_environ(self) -> Any:
        """Return the WSGI environment, including the connection."""
        environ: Any = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CONNECTION_KEY] = self.req.conn
        return environ
