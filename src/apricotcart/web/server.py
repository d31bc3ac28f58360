"""cherrypy servers with limits on the resources of a client."""

from __future__ import annotations

from typing import Any, Self

import cherrypy
from cherrypy._cpserver import Server
from cherrypy._cpwsgi_server import CPWSGIServer

from apricotcart.responses.memory import ResponseMemory
from apricotcart.web.answering import ConnectionGateway
from apricotcart.web.application import WebApplication
from apricotcart.web.body_memory import BodyMemory
from apricotcart.web.deadlines import DeadlineConnection
from apricotcart.web.head_memory import HeadMemory
from apricotcart.web.http_server import DrainingServer
from apricotcart.web.tls import LateHandshakeAdapter

# On shutdown, the thread pool waits this long for running requests.
_STOP_TIMEOUT_S = 3600
_ACCEPT_BACKLOG = 256


class HttpServer(DrainingServer, CPWSGIServer):  # type: ignore[misc]
    """HTTP server that cherrypy's engine starts and stops."""


class ServerLimits:
    """Limits of an HTTP server on its clients.

    Parameters
    ----------
    threads : int
        Number of requests served concurrently.
    max_header_bytes : int
        Maximum size of the request line and headers.
    header_timeout_s : float
        Time from the first byte of a request to the end of its headers.
    body_timeout_s : float
        Time from the end of the headers to the end of the body.
    body_memory : BodyMemory or None
        Memory of the bodies of all servers of the process; None for one of
        the default size.
    head_memory : HeadMemory or None
        The same for heads that have arrived in part.
    response_memory : ResponseMemory or None
        The same for answers that callers have not read.
    """

    __slots__ = (
        'body_memory',
        'body_timeout_s',
        'head_memory',
        'header_timeout_s',
        'max_header_bytes',
        'response_memory',
        'threads',
    )

    def __init__(
        self,
        *,
        threads: int,
        max_header_bytes: int,
        header_timeout_s: float,
        body_timeout_s: float,
        body_memory: BodyMemory | None = None,
        head_memory: HeadMemory | None = None,
        response_memory: ResponseMemory | None = None,
    ) -> None:
        self.head_memory = head_memory or HeadMemory()
        self.response_memory = response_memory or ResponseMemory()
        self.body_memory = body_memory or BodyMemory()
        self.threads = threads
        self.max_header_bytes = max_header_bytes
        self.header_timeout_s = header_timeout_s
        self.body_timeout_s = body_timeout_s


class HttpAddress:
    """Listen address of a server, with certificate files for TLS."""

    __slots__ = ('cert', 'host', 'key', 'port')

    def __init__(
        self,
        *,
        host: str,
        port: int,
        cert: str | None = None,
        key: str | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.cert = cert
        self.key = key

    @classmethod
    def from_host_port(cls, address: str | None) -> Self:
        """Return the address for ``IP:PORT``, without TLS."""
        host, _, port = str(address).rpartition(':')
        return cls(host=host, port=int(port))


def mount(app: WebApplication) -> None:
    """Mount the application at the root of cherrypy's tree."""
    cherrypy.tree.graft(app, '')


def configure_engine() -> None:
    """Disable cherrypy's reloading, screen log, signals and default server."""
    cherrypy.config.update(
        {
            'environment': 'embedded',
            'engine.autoreload.on': False,
            'log.screen': False,
        },
    )
    cherrypy.server.unsubscribe()


def add_server(
    address: HttpAddress,
    limits: ServerLimits,
    app: Any = None,
) -> Any:
    """Add a server to cherrypy's engine.

    It serves cherrypy's tree unless an application is given.
    """
    server = Server()
    server.socket_host = address.host
    server.socket_port = address.port
    server.thread_pool = limits.threads
    server.max_request_header_size = limits.max_header_bytes
    server.max_request_body_size = 0
    server.socket_queue_size = _ACCEPT_BACKLOG
    server.shutdown_timeout = _STOP_TIMEOUT_S
    server.httpserver = _create_http_server(server, limits)
    if address.cert:
        server.httpserver.ssl_adapter = LateHandshakeAdapter(
            address.cert, address.key
        )
    if app is not None:
        server.httpserver.wsgi_app = app
    server.subscribe()
    return server


def _create_http_server(server: Any, limits: ServerLimits) -> Any:
    http = HttpServer(server)
    http.ConnectionClass = DeadlineConnection
    http.gateway = ConnectionGateway
    http.header_timeout_s = limits.header_timeout_s
    http.body_timeout_s = limits.body_timeout_s
    http.body_memory = limits.body_memory
    http.head_memory = limits.head_memory
    http.response_memory = limits.response_memory
    return http
