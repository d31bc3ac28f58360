"""Guards against error responses that end up inside a stream."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest
from gateway.conftest import Bench
from gateway.endpoints import (
    LAST_CHUNK,
    ReceivedRequest,
    Script,
    chunk,
    event,
    response_bytes,
    stream_head,
)
from gateway.served_gateway import ServedGateway

_EVENTS = [event(number) for number in range(1, 5)]
_ALL = b''.join(_EVENTS)
_ERROR = b'no such model'


@pytest.fixture
def gateway(bench: Bench) -> Iterator[ServedGateway]:
    """Return a gateway that serves callers on loopback."""
    served = ServedGateway(bench)
    yield served
    served.stop()


def _error(request: ReceivedRequest, status: str) -> bytes:
    return response_bytes(request, _ERROR, status, Content_Type='text/plain')


def _head(request: ReceivedRequest, framing: str) -> bytes:
    fields = {
        'chunked': b'Transfer-Encoding: chunked\r\n',
        'length': b'Content-Length: 900\r\n',
        'none': b'',
    }
    return (
        (
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt_id}\r\n'
            'Server-Stamp: s\r\nContent-Type: text/event-stream\r\n'
        ).encode()
        + fields[framing]
        + b'\r\n'
    )


class FailingEndpoint:
    """Breaks each new stream off; answers what resumes it with an error."""

    def __init__(self, status: str) -> None:
        self.status = status
        self.served: set[socket.socket] = set()

    def answer(self, conn: socket.socket, request: ReceivedRequest) -> bool:
        if request.header('last-event-id'):
            conn.sendall(_error(request, self.status))
            return True
        if request.head.startswith(b'POST /once/'):
            self.served.add(conn)
            conn.sendall(response_bytes(request))
            return True
        conn.sendall(stream_head(request) + chunk(_EVENTS[0]))
        return False


@pytest.mark.parametrize(
    'status', ['500 Failed', '404 None', '503 Busy', '200 OK', '204 Empty']
)
@pytest.mark.parametrize('uses_kept', [False, True], ids=['new', 'kept'])
def test_error_of_the_next_endpoint_is_not_part_of_the_stream(
    bench: Bench, gateway: ServedGateway, status: str, *, uses_kept: bool
) -> None:
    endpoint = FailingEndpoint(status)
    bench.serve(endpoint.answer, endpoint.answer)
    for _ in range(4 if uses_kept else 0):
        assert gateway.ask('once').status == 200
    received = gateway.ask('resumable')
    assert received.status == 200
    assert not received.is_complete
    assert received.body == _EVENTS[0]


def _write_error_into(framing: str, partial: bytes) -> Script:
    """Return a script whose new streams end with an error response."""
    first = _EVENTS[0] + partial
    if framing == 'chunked':
        first = chunk(first)

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        begin = int(request.header('last-event-id') or 0)
        if begin:
            resumed = b''.join(chunk(part) for part in _EVENTS[begin:])
            conn.sendall(stream_head(request) + resumed + LAST_CHUNK)
            return True
        error = _error(request, '500 Failed')
        conn.sendall(_head(request, framing) + first + error)
        return False

    return script


@pytest.mark.parametrize('framing', ['chunked', 'length', 'none'])
@pytest.mark.parametrize(
    'partial', [b'', b'id: 2\nda', b'id: 2\ndata: t', b'id: 2\ndata: t2\n']
)
@pytest.mark.parametrize('route', ['stream', 'resumable'])
def test_error_written_into_a_broken_stream_is_cut_out(
    bench: Bench,
    gateway: ServedGateway,
    framing: str,
    partial: bytes,
    route: str,
) -> None:
    """The head and body of the error come with the end of the stream."""
    script = _write_error_into(framing, partial)
    bench.serve(script, script)
    received = gateway.ask(route)
    assert _ERROR not in received.body or received.status == 500
    if route == 'resumable' and received.status == 200:
        assert received.is_complete
        assert received.body == _ALL
    if route == 'stream' and received.status == 200:
        assert not received.is_complete
        assert received.body in {b'', _EVENTS[0]}


@pytest.mark.parametrize(
    'block',
    [
        b': comment\n\n',
        b'weight-versions: 7\nid: 9\ndata: {"a": "B: c"}\n\n',
        b'event: end\ndata\n\n',
        b'id: 9\r\ndata: x\r\n\r\n',
        b'\n\n',
    ],
)
def test_valid_event_is_passed_on_unchanged(
    bench: Bench, gateway: ServedGateway, block: bytes
) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(stream_head(request) + chunk(_EVENTS[0]) + chunk(block))
        conn.sendall(LAST_CHUNK)
        return True

    bench.serve(script)
    received = gateway.ask('stream')
    assert received.is_complete
    assert received.body == _EVENTS[0] + block
