"""Connections with deadlines for the headers and body of a request."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Any

from cheroot import wsgi
from cheroot.makefile import StreamReader
from cheroot.server import HTTPConnection
from cherrypy._cpwsgi_server import CPWSGIHTTPRequest

from apricotcart.timers.deadline_reader import DeadlineReader
from apricotcart.web.open_connections import Activity
from apricotcart.web.request import CONNECTION_KEY


class CallerReader(StreamReader):
    """Buffered reader over a socket with a deadline."""

    def __init__(self, sock: Any, bufsize: int) -> None:
        """Create a buffered reader of the socket."""
        self.deadline_reader = DeadlineReader(sock)
        # Skips the parent's constructor, which creates its own socket reader.
        super(StreamReader, self).__init__(self.deadline_reader, bufsize)
        self.bytes_read = 0


class DeadlineRequest(CPWSGIHTTPRequest):  # type: ignore[misc]
    """Request with one deadline for its headers and one for its body."""

    def parse_request(self) -> None:
        """Read the headers before their deadline, then set that of the body."""
        server = self.server
        reader = self.conn.rfile.deadline_reader
        reader.limit_time(server.header_timeout_s)
        super().parse_request()
        reader.limit_time(server.body_timeout_s)
        self.conn.socket.settimeout(server.timeout)

    def respond(self) -> None:
        """Call the application and write its whole response."""
        self.conn.activity = Activity.ANSWERING
        super().respond()


class DeadlineConnection(HTTPConnection):
    """Connection whose requests have deadlines.

    Attributes
    ----------
    activity : Activity
        What the connection is doing.
    """

    RequestHandlerClass = DeadlineRequest

    def __init__(self, server: Any, sock: Any, *args: Any) -> None:
        """Replace the reader with one that has a deadline."""
        super().__init__(server, sock, *args)
        self.rfile = CallerReader(sock, self.rbufsize)
        self.activity = Activity.QUEUED
        server.open_connections.add(self)

    def communicate(self) -> Any:
        """Read a request and answer it; return whether to keep it open."""
        self.activity = Activity.READING
        return super().communicate()  # type: ignore[no-untyped-call]

    def close(self) -> None:
        """Close the socket."""
        with ExitStack() as stack:
            stack.callback(self.server.open_connections.remove, self)
            super().close()


class ConnectionGateway(wsgi.Gateway_10):
    """WSGI gateway that passes the connection to the application."""

    def get_environ(self) -> Any:
        """Return the WSGI environment, including the connection."""
        environ: Any = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CONNECTION_KEY] = self.req.conn
        return environ
