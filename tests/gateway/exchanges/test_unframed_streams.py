"""Guards against streams without length that break off unnoticed."""

from __future__ import annotations

import socket

import pytest
from gateway.conftest import Bench
from gateway.endpoints import ReceivedRequest, event

from apricotcart.desired.records import RouteKind
from apricotcart.gateway.errors import BrokenEndpointError


def _head(request: ReceivedRequest) -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt_id}\r\n'
        'Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n'
    ).encode()


def _ends_inside_event(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(_head(request) + event(1) + b'id: 2\nda')
    return False


def test_stream_that_ends_inside_an_event_is_not_complete(
    bench: Bench,
) -> None:
    """A stream without length and chunks ends with its connection."""
    bench.serve(_ends_inside_event)
    response = bench.forwarder.forward(bench.call(RouteKind.STREAM))
    received: list[bytes] = []
    with pytest.raises(BrokenEndpointError):
        received.extend(iter(response.chunks))
    assert b''.join(received) in {b'', event(1)}


def _ends_after_event(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(_head(request) + event(1) + event(2))
    return False


def test_stream_without_length_ends_with_its_connection(bench: Bench) -> None:
    """It is complete if its last event is."""
    bench.serve(_ends_after_event)
    response = bench.forwarder.forward(bench.call(RouteKind.STREAM))
    assert b''.join(response.chunks) == event(1) + event(2)
