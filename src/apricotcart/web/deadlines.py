"""Connections with deadlines for the headers and body of a request."""

from __future__ import annotations

import socket
import time
from typing import Any

from cheroot import wsgi
from cheroot.makefile import StreamReader
from cheroot.server import HTTPConnection
from cherrypy._cpwsgi_server import CPWSGIHTTPRequest

from apricotcart.web.request import CONNECTION_KEY


class DeadlineSocketIO(socket.SocketIO):
    """Reads from a socket until a deadline.

    The server's own timeout restarts with each byte, so a client that sends
    one byte per second would occupy a thread forever.
    """

    deadline: float | None = None

    def readinto(self, buffer: Any) -> int | None:
        """Read into the buffer; raise TimeoutError at the deadline."""
        sock: socket.socket = self._sock  # type: ignore[attr-defined]
        if self.deadline is not None:
            remaining_s = self.deadline - time.monotonic()
            if remaining_s <= 0:
                # cheroot recognises time-outs by this text.
                raise TimeoutError('timed out')
            sock.settimeout(remaining_s)
        return super().readinto(buffer)


class DeadlineReader(StreamReader):
    """Buffered reader over a socket with a deadline."""

    def __init__(self, sock: Any, bufsize: int) -> None:
        """Create a buffered reader of the socket."""
        self.socket_io = DeadlineSocketIO(sock, 'rb')
        # Skips the parent's constructor, which creates its own socket reader.
        super(StreamReader, self).__init__(self.socket_io, bufsize)
        self.bytes_read = 0


class DeadlineRequest(CPWSGIHTTPRequest):  # type: ignore[misc]
    """Request with one deadline for its headers and one for its body."""

    def parse_request(self) -> None:
        """Read the headers before their deadline, then set that of the body."""
        server = self.server
        socket_io = self.conn.rfile.socket_io
        socket_io.deadline = time.monotonic() + server.header_timeout_s
        super().parse_request()
        socket_io.deadline = time.monotonic() + server.body_timeout_s
        self.conn.socket.settimeout(server.timeout)


class DeadlineConnection(HTTPConnection):
    """Connection whose requests have deadlines."""

    RequestHandlerClass = DeadlineRequest

    def __init__(self, server: Any, sock: Any, *args: Any) -> None:
        """Replace the reader with one that has a deadline."""
        super().__init__(server, sock, *args)
        self.rfile = DeadlineReader(sock, self.rbufsize)


class ConnectionGateway(wsgi.Gateway_10):
    """WSGI gateway that passes the connection to the application."""

    def get_environ(self) -> Any:
        """Return the WSGI environment, including the connection."""
        environ: Any = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CONNECTION_KEY] = self.req.conn
        return environ
