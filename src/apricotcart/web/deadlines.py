"""Connections with deadlines for the headers and body of a request."""

from __future__ import annotations

from typing import Any

from cheroot import wsgi
from cheroot.makefile import StreamReader
from cheroot.server import HTTPConnection
from cherrypy._cpwsgi_server import CPWSGIHTTPRequest

from apricotcart.timers.deadline_reader import DeadlineReader
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


class DeadlineConnection(HTTPConnection):
    """Connection whose requests have deadlines."""

    RequestHandlerClass = DeadlineRequest

    def __init__(self, server: Any, sock: Any, *args: Any) -> None:
        """Replace the reader with one that has a deadline."""
        super().__init__(server, sock, *args)
        self.rfile = CallerReader(sock, self.rbufsize)


class ConnectionGateway(wsgi.Gateway_10):
    """WSGI gateway that passes the connection to the application."""

    def get_environ(self) -> Any:
        """Return the WSGI environment, including the connection."""
        environ: Any = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CONNECTION_KEY] = self.req.conn
        return environ
