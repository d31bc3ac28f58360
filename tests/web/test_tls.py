"""Guards against TLS clients who keep a server from accepting others."""

from __future__ import annotations

import socket
import ssl
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Final

import cherrypy
import pytest
import trustme

from apricotcart.web.application import WebApplication
from apricotcart.web.request import WebRequest
from apricotcart.web.response import WebResponse
from apricotcart.web.server import (
    HttpAddress,
    ServerLimits,
    add_server,
    configure_engine,
)

_HOST: Final = '127.0.0.1'
# Shorter than the time-out of a connection.
_PATIENCE_S: Final = 5
_SILENT: Final = 8
_REQUEST: Final = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


class HelloApplication(WebApplication):
    """Greets everybody."""

    def respond(self, req: WebRequest) -> WebResponse:
        """Return a greeting."""
        return WebResponse.from_json({'hello': 'world'})


@pytest.fixture
def context() -> ssl.SSLContext:
    """Return the context of clients."""
    return ssl.create_default_context()


@pytest.fixture
def port(
    context: ssl.SSLContext, tmp_path: Path, unused_tcp_port: int
) -> Iterator[int]:
    """Run a TLS server with two threads and return its port."""
    authority = trustme.CA()
    issued = authority.issue_cert(_HOST)
    path = tmp_path / 'cert.pem'
    issued.private_key_and_cert_chain_pem.write_to_path(path)
    authority.configure_trust(context)
    configure_engine()
    server = add_server(
        HttpAddress(
            host=_HOST, port=unused_tcp_port, cert=str(path), key=str(path)
        ),
        ServerLimits(
            threads=2,
            max_header_bytes=4096,
            header_timeout_s=_PATIENCE_S,
            body_timeout_s=_PATIENCE_S,
        ),
        HelloApplication(),
    )
    cherrypy.engine.start()
    yield unused_tcp_port
    server.stop()
    server.unsubscribe()
    cherrypy.engine.exit()


def _read_until(conn: socket.socket, ending: bytes) -> bytes:
    received = b''
    while not received.endswith(ending):
        chunk = conn.recv(4096)
        if not chunk:
            break
        received += chunk
    return received


def test_silent_clients_keep_nobody_waiting(
    context: ssl.SSLContext, port: int
) -> None:
    """Guards against a handshake in the thread that accepts."""
    silent = [
        socket.create_connection((_HOST, port), _PATIENCE_S)
        for _ in range(_SILENT)
    ]
    with (
        socket.create_connection((_HOST, port), _PATIENCE_S) as plain,
        context.wrap_socket(plain, server_hostname=_HOST) as conn,
    ):
        for _ in range(3):
            conn.sendall(_REQUEST)
            assert _read_until(conn, b'world"}').startswith(b'HTTP/1.1 200')
    for other in silent:
        other.close()


def test_client_without_tls_is_closed(
    context: ssl.SSLContext, port: int
) -> None:
    """Guards against a server that ends by a client of another protocol."""
    with socket.create_connection((_HOST, port), _PATIENCE_S) as plain:
        plain.sendall(_REQUEST)
        with suppress(ConnectionResetError):
            assert b'200 OK' not in plain.recv(4096)
    test_silent_clients_keep_nobody_waiting(context, port)
