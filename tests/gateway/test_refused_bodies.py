"""Guards against refusals that do not reach the caller of a body."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from typing import Final

import pytest
from gateway.conftest import Bench
from gateway.endpoints import respond_with
from gateway.served_gateway import ServedGateway, read_to_end

from apricotcart.web.body_memory import BodyMemory

_TIMEOUT_S: Final = 12
_GRACE_S: Final = 0.2
_MEMORY_BYTES: Final = 40_000
# Half of the limit on one body, and most of the memory.
_PART: Final = b'x' * 50_000
_LARGE_BYTES: Final = 8_000_000


@pytest.fixture
def served(bench: Bench) -> Iterator[ServedGateway]:
    """Return a gateway with little memory for bodies."""
    gateway = ServedGateway(bench)
    gateway.server.body_memory = BodyMemory(_MEMORY_BYTES, _GRACE_S)
    yield gateway
    gateway.stop()


def _send(served: ServedGateway, *lines: str, body: bytes) -> socket.socket:
    head = '\r\n'.join(('POST /once/x HTTP/1.1', 'Host: h', *lines, '', ''))
    conn = socket.create_connection(served.address, _TIMEOUT_S)
    conn.sendall(head.encode() + body)
    return conn


@pytest.mark.parametrize(
    ('framing', 'body'),
    [
        ('Content-Length: 50001', _PART),
        ('Transfer-Encoding: chunked', b'c350\r\n%s\r\n' % _PART),
    ],
)
def test_body_that_gives_way_is_told_so(
    served: ServedGateway, framing: str, body: bytes
) -> None:
    """Guards against a connection that is closed without the promise."""
    with _send(served, framing, 'Attempt-Id: first', body=body) as stalled:
        time.sleep(3 * _GRACE_S)
        with _send(served, framing, body=body):
            refused = read_to_end(stalled)
    assert refused.status == 503
    assert refused.is_complete
    assert float(refused.headers['retry-after']) > 0
    assert refused.headers['attempt-id'] == 'first'


@pytest.mark.parametrize('last_bytes', [b'', b'x'])
def test_refusal_survives_a_body_that_was_not_read(
    served: ServedGateway, last_bytes: bytes
) -> None:
    """Guards against a reset that takes the refusal from its caller."""
    body = b'x' * (_LARGE_BYTES - 1) + last_bytes
    length = f'Content-Length: {_LARGE_BYTES}'
    with _send(served, length, body=body) as conn:
        refused = read_to_end(conn)
    assert refused.status == 413
    assert refused.is_complete
    assert refused.headers['connection'] == 'close'


@pytest.mark.parametrize('chunk_bytes', [0, 1, 7, 1000, 30_000])
def test_large_body_reaches_the_endpoint_unchanged(
    served: ServedGateway, chunk_bytes: int
) -> None:
    """Guards against a large body that is mixed up, or refused in calm.

    It is larger than the memory for bodies, and arrives in two parts.
    """
    endpoint = served.bench.serve(respond_with())[0]
    body = bytes(number % 251 for number in range(60_000))
    framing, wire = f'Content-Length: {len(body)}', body
    if chunk_bytes:
        framing = 'Transfer-Encoding: chunked'
        parts = [
            body[start : start + chunk_bytes]
            for start in range(0, len(body), chunk_bytes)
        ]
        wire = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)
        wire += b'0\r\n\r\n'
    lines = (framing, 'Attempt-Id: a', 'Connection: close')
    with _send(served, *lines, body=wire[:20_001]) as conn:
        time.sleep(_GRACE_S)
        conn.sendall(wire[20_001:])
        answer = read_to_end(conn)
    assert (answer.status, answer.is_complete) == (200, True)
    assert [request.body for request in endpoint.received] == [body]


def test_late_body_with_a_length_is_answered(served: ServedGateway) -> None:
    """Guards against a close without an answer at the body's deadline."""
    served.server.body_timeout_s = _GRACE_S
    with _send(served, 'Content-Length: 2', body=b'x') as conn:
        refused = read_to_end(conn)
    assert refused.status == 408
    assert refused.is_complete
