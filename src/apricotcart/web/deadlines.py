"""Connections that must deliver a request before a deadline."""

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

    The server's own timeout starts anew with each byte, so that a client
    that sends one byte a second would hold a thread for ever.
    """

    deadline: float | None = None

    def readinto(self, buffer: Any) -> int | None:
        """Read into the buffer, or time out at the deadline."""
        sock: socket.socket = self._sock  # type: ignore[attr-defined]
        if self.deadline is not None:
            left_s = self.deadline - time.monotonic()
            if left_s <= 0:
                raise TimeoutError('timed out')
            sock.settimeout(left_s)
        return super().readinto(buffer)


class DeadlineReader(StreamReader):
    """Buffered reader over a socket with a deadline."""

    def __init__(self, sock: Any, bufsize: int) -> None:
        """Read from the socket through a deadline."""
        self.source = DeadlineSocketIO(sock, 'rb')
        # Skips the parent's constructor, which makes its own source.
        super(StreamReader, self).__init__(self.source, bufsize)
        self.bytes_read = 0


class DeadlineRequest(CPWSGIHTTPRequest):  # type: ignore[misc]
    """Request whose headers and body have a deadline each."""

    def parse_request(self) -> None:
        """Read the headers before their deadline, then start the body's."""
        server = self.server
        source = self.conn.rfile.source
        source.deadline = time.monotonic() + server.header_timeout_s
        super().parse_request()
        source.deadline = time.monotonic() + server.body_timeout_s
        self.conn.socket.settimeout(server.timeout)


class DeadlineConnection(HTTPConnection):
    """Connection whose requests have deadlines."""

    RequestHandlerClass = DeadlineRequest

    def __init__(self, server: Any, sock: Any, *args: Any) -> None:
        """Replace the reader by one with a deadline."""
        super().__init__(server, sock, *args)
        self.rfile = DeadlineReader(sock, self.rbufsize)


class ConnectionGateway(wsgi.Gateway_10):
    """Gateway that hands the connection to the application."""

    def get_environ(self) -> Any:
        """Give the WSGI environment with the connection in it."""
        environ: Any = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CONNECTION_KEY] = self.req.conn
        return environ
