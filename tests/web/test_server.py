"""Tests of the limits of the HTTP server against hostile clients."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

import cherrypy
import pytest
import urllib3

from apricotcart.web.application import WebApplication
from apricotcart.web.request import WebRequest
from apricotcart.web.response import WebResponse
from apricotcart.web.server import (
    HttpAddress,
    ServerLimits,
    add_server,
    configure_engine,
    mount,
)

_HEADER_TIMEOUT_S = 0.5
_MAX_BODY = 1000
_SLOW_HEADERS = b'GET / HTTP/1.1\r\nX-Slow: %s' % (b'a' * 400)


class EchoApplication(WebApplication):
    """Returns the JSON body of the request."""

    def respond(self, req: WebRequest) -> WebResponse:
        """Return the body."""
        return WebResponse.from_json(req.json(_MAX_BODY))


@pytest.fixture(scope='module')
def echo_port() -> Iterator[int]:
    """Run a server with small limits and return its port."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    configure_engine()
    mount(EchoApplication())
    add_server(
        HttpAddress(host='127.0.0.1', port=port),
        ServerLimits(
            threads=4,
            max_header_bytes=4096,
            header_timeout_s=_HEADER_TIMEOUT_S,
            body_timeout_s=_HEADER_TIMEOUT_S,
        ),
    )
    cherrypy.engine.start()
    yield port
    cherrypy.engine.exit()


def _post(port: int, body: bytes) -> urllib3.BaseHTTPResponse:
    return urllib3.request('POST', f'http://127.0.0.1:{port}/', body=body)


def test_server_echo(echo_port: int) -> None:
    """Guards against a body that does not reach the application."""
    assert _post(echo_port, b'{"a":1}').json() == {'a': 1}


def test_server_malformed_json(echo_port: int) -> None:
    """Guards against an untyped error for malformed JSON."""
    reply = _post(echo_port, b'{"a":')
    error = reply.json()['error']
    assert (reply.status, error['code']) == (400, 'invalid_json')
    assert error['run_state'] == 'not_run'


def test_server_large_body(echo_port: int) -> None:
    """Guards against a body read into memory beyond the limit."""
    reply = _post(echo_port, b'x' * 100_000)
    assert reply.status == 413
    assert reply.json()['error']['code'] == 'body_too_large'


def test_server_header_flood(echo_port: int) -> None:
    """Guards against headers of unbounded size."""
    reply = urllib3.request(
        'GET',
        f'http://127.0.0.1:{echo_port}/',
        headers={f'X-{number}': 'v' * 100 for number in range(100)},
    )
    assert reply.status == 413


def test_server_slow_headers(echo_port: int) -> None:
    """Guards against a client that occupies a thread with single bytes."""
    with socket.create_connection(('127.0.0.1', echo_port)) as conn:
        conn.settimeout(20)
        assert _send_slowly(conn, _SLOW_HEADERS)


def test_server_slow_body(echo_port: int) -> None:
    """Guards against a body that arrives byte by byte without a deadline."""
    head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n'
    with socket.create_connection(('127.0.0.1', echo_port)) as conn:
        conn.settimeout(20)
        conn.sendall(head)
        assert _send_slowly(conn, b'x' * 400)


def test_server_truncated_body(echo_port: int) -> None:
    """Guards against a truncated body that is processed as complete."""
    head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n'
    with socket.create_connection(('127.0.0.1', echo_port)) as conn:
        conn.settimeout(20)
        conn.sendall(b'%s{"a":1}' % head)
        conn.shutdown(socket.SHUT_WR)
        received = b''.join(iter(lambda: conn.recv(4096), b''))
    assert b'"code":"incomplete_body"' in received


def _send_slowly(conn: socket.socket, content: bytes) -> bool:
    """Send single bytes and return whether the server ends the request."""
    for byte in content:
        try:
            conn.sendall(bytes([byte]))
        except OSError:
            return True
        time.sleep(_HEADER_TIMEOUT_S / 10)
        conn.setblocking(False)
        try:
            if conn.recv(4096) is not None:
                return True
        except BlockingIOError:
            conn.settimeout(20)
        except OSError:
            return True
    return False


def test_refused_head_has_no_body(echo_port: int) -> None:
    """Guards against a body that stands where the next answer should begin."""
    with socket.create_connection(('127.0.0.1', echo_port), 5) as conn:
        conn.sendall(b'HEAD /none HTTP/1.1\r\nHost: h\r\n\r\n')
        head = _read_until(conn, b'\r\n\r\n')
        conn.sendall(_echo_request(b'{"a":1}'))
        following = _read_until(conn, b'{"a":1}')
    assert head.startswith(b'HTTP/1.1 400')
    assert head.endswith(b'\r\n\r\n')
    assert following.startswith(b'HTTP/1.1 200')


def _echo_request(body: bytes) -> bytes:
    return b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )


def _read_until(conn: socket.socket, ending: bytes) -> bytes:
    received = b''
    while ending not in received:
        chunk = conn.recv(65_536)
        if not chunk:
            break
        received += chunk
    return received
