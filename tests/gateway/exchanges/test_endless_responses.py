"""Guards against endpoints that send bytes without end."""

from __future__ import annotations

import socket
from typing import Final

import pytest
from gateway.conftest import Bench
from gateway.endpoints import (
    WAIT_S,
    ReceivedRequest,
)

from apricotcart.desired.records import RouteKind
from apricotcart.gateway.errors import BrokenEndpointError

_BLOCK: Final = b'x' * 65_536
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n' * 1000
# Far above the limits of a response, so that the test ends without them.
_MAX_BLOCKS: Final = 2000
# Blocks whose repetitions were all accepted.
_sent_whole: list[bytes] = []


def _send_blocks(conn: socket.socket, block: bytes) -> None:
    for _ in range(_MAX_BLOCKS):
        conn.sendall(block)
    _sent_whole.append(block)


def _unframed(request: ReceivedRequest, content_type: str) -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt_id}\r\n'
        f'Server-Stamp: s\r\nContent-Type: {content_type}\r\n\r\n'
    ).encode()


def _endless_head(conn: socket.socket, request: ReceivedRequest) -> bool:
    _send_blocks(conn, _CONTINUE)
    return False


def _endless_line(conn: socket.socket, request: ReceivedRequest) -> bool:
    _send_blocks(conn, _BLOCK)
    return False


def _endless_body(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(_unframed(request, 'text/plain'))
    _send_blocks(conn, _BLOCK)
    return False


def _endless_event(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(_unframed(request, 'text/event-stream'))
    _send_blocks(conn, _BLOCK)
    return False


@pytest.mark.parametrize(
    ('script', 'kind'),
    [
        (_endless_head, RouteKind.ONCE),
        (_endless_line, RouteKind.ONCE),
        (_endless_body, RouteKind.ONCE),
        (_endless_event, RouteKind.STREAM),
    ],
)
def test_endless_response_is_cut_and_not_retried(
    bench: Bench, script: object, kind: RouteKind
) -> None:
    """Memory is bounded, the connection closed and the error typed."""
    _sent_whole.clear()
    endpoints = bench.serve(script, script)  # type: ignore[arg-type]
    with pytest.raises(BrokenEndpointError):
        bench.forwarder.forward(bench.call(kind, wait_s=WAIT_S))
    assert not _sent_whole
    assert sum(len(endpoint.received) for endpoint in endpoints) == 1
    assert bench.running() == 0
