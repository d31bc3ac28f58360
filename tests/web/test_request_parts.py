"""Guards against requests that are misread as their bytes arrive in parts."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterable, Iterator
from typing import Any, Final

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from apricotcart.web.answering import ConnectionGateway
from apricotcart.web.deadlines import DeadlineConnection
from apricotcart.web.http_server import DrainingServer

_TIMEOUT_S: Final = 5
_EXAMPLES: Final = 60
_BODIES: Final = (b'', b'first', b'x' * 20_000, b'GET / HTTP/1.1\r\n\r\n')


def _echo(environ: Any, start_response: Any) -> Iterable[bytes]:
    body = environ['wsgi.input'].read()
    start_response('200 OK', [('Content-Length', str(len(body)))])
    return [body]


@pytest.fixture(scope='module')
def address() -> Iterator[tuple[str, int]]:
    """Return the address of a server that returns bodies."""
    server: Any = DrainingServer(('127.0.0.1', 0), _echo, timeout=_TIMEOUT_S)
    server.ConnectionClass = DeadlineConnection
    server.gateway = ConnectionGateway
    server.header_timeout_s = _TIMEOUT_S
    server.body_timeout_s = _TIMEOUT_S
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    yield server.bind_addr
    server.stop()


def _with_length(body: bytes, *, is_last: bool) -> bytes:
    head = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n' % len(body)
    return b'%b%b\r\n%b' % (head, b'Connection: close\r\n' * is_last, body)


def _chunked(body: bytes, *, is_last: bool) -> bytes:
    head = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
    chunk = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
    end = b'Connection: close\r\n' * is_last
    return b'%b%b\r\n%b0\r\n\r\n' % (head, end, chunk)


def _read_bodies(conn: socket.socket) -> bytes:
    received = b''
    while part := conn.recv(65_536):
        received += part
    bodies = []
    while received:
        head, _, rest = received.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        size = int(head.lower().partition(b'content-length: ')[2].split()[0])
        bodies.append(rest[:size])
        received = rest[size:]
    return b'|'.join(bodies)


@settings(
    max_examples=_EXAMPLES,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    bodies=st.lists(
        st.tuples(st.sampled_from(_BODIES), st.booleans()),
        min_size=1,
        max_size=4,
    ),
    cuts=st.lists(st.floats(0, 1), max_size=6),
)
def test_requests_in_parts_are_answered_in_order(
    address: tuple[str, int],
    bodies: list[tuple[bytes, bool]],
    cuts: list[float],
) -> None:
    wire = b''
    for number, (body, is_chunked) in enumerate(bodies, start=1):
        build = _chunked if is_chunked else _with_length
        wire += build(body, is_last=number == len(bodies))
    ends = sorted({int(cut * len(wire)) for cut in cuts} | {len(wire)})
    with socket.create_connection(address, _TIMEOUT_S) as conn:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        start = 0
        for end in ends:
            conn.sendall(wire[start:end])
            start = end
        answered = _read_bodies(conn)
    assert answered == b'|'.join(body for body, _ in bodies)
