"""Guards against responses without end, which hang requests and fill memory."""

from __future__ import annotations

import itertools
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress

import pytest
from gateway.conftest import Bench
from gateway.endpoints import ReceivedRequest, Script, chunk, respond_with
from gateway.served_gateway import Received, ServedGateway

from apricotcart.gateway.errors import AnswerMemoryError
from apricotcart.responses.memory import ResponseMemory, ResponseMemoryError
from apricotcart.web.response import WebResponse

_WAIT_MS = 600
# Time after the timeout of a request within which it is answered, in seconds.
_LATE_S = 0.5
_DRIP_S = 0.05
_BLOCK = b'a' * 4000
_MEBIBYTE = 1_048_576
_MEMORY_BYTES = 2 * _MEBIBYTE
_LARGE_BYTES = _MEBIBYTE


@pytest.fixture
def gateway(bench: Bench) -> Iterator[ServedGateway]:
    """Return a gateway that serves callers on loopback."""
    served = ServedGateway(bench)
    yield served
    served.stop()


def _head(attempt_id: str, *fields: str) -> bytes:
    lines = [
        'HTTP/1.1 200 OK',
        f'Attempt-Id: {attempt_id}',
        'Server-Stamp: s',
        *fields,
    ]
    return '\r\n'.join([*lines, '', '']).encode()


def _drip(conn: socket.socket, block: bytes, pause_s: float) -> None:
    with suppress(OSError):
        for _ in itertools.repeat(None):
            conn.sendall(block)
            time.sleep(pause_s)


def _status_line(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(b'HTTP/1.1 200 ')
    _drip(conn, b'O', _DRIP_S)
    return False


def _header(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(b'HTTP/1.1 200 OK\r\nX-Fill: ')
    _drip(conn, b'a', _DRIP_S)
    return False


def _interim(conn: socket.socket, request: ReceivedRequest) -> bool:
    _drip(conn, b'HTTP/1.1 103 Early Hints\r\n\r\n', _DRIP_S)
    return False


def _body(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(_head(request.attempt_id, 'Content-Length: 999999'))
    _drip(conn, b'a', _DRIP_S)
    return False


def _chunk_size(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(_head(request.attempt_id, 'Transfer-Encoding: chunked'))
    conn.sendall(b'5;x=')
    _drip(conn, b'a', _DRIP_S)
    return False


def _trailers(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(_head(request.attempt_id, 'Transfer-Encoding: chunked'))
    conn.sendall(chunk(b'ok') + b'0\r\n')
    _drip(conn, b'X-Fill: a\r\n', _DRIP_S)
    return False


def _other_response(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(_head('earlier', 'Transfer-Encoding: chunked'))
    _drip(conn, chunk(_BLOCK), _DRIP_S)
    return False


def _partial_event(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(
        _head(
            request.attempt_id,
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
        )
    )
    _drip(conn, chunk(b'data'), _DRIP_S)
    return False


_SCRIPTS: dict[str, Script] = {
    'status-line': _status_line,
    'header': _header,
    'interim': _interim,
    'body': _body,
    'chunk-size': _chunk_size,
    'trailers': _trailers,
    'other-response': _other_response,
    'partial-event': _partial_event,
}


@pytest.mark.parametrize('script', _SCRIPTS.values(), ids=_SCRIPTS)
@pytest.mark.parametrize('route', ['once', 'stream'])
def test_response_without_end_ends_with_the_timeout_of_the_request(
    bench: Bench, gateway: ServedGateway, script: Script, route: str
) -> None:
    bench.serve(script)
    started_at = time.monotonic()
    received = gateway.ask(route, wait_ms=_WAIT_MS)
    assert time.monotonic() < started_at + _WAIT_MS / 1000 + _LATE_S
    assert received.status in {502, 504}
    assert bench.running() == 0


def test_trailers_without_end_are_cut_before_the_timeout(
    bench: Bench, gateway: ServedGateway
) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(_head(request.attempt_id, 'Transfer-Encoding: chunked'))
        conn.sendall(chunk(b'ok') + b'0\r\n')
        _drip(conn, b'X-Fill: a\r\n' * 1000, 0)
        return False

    bench.serve(script)
    started_at = time.monotonic()
    assert gateway.ask('once', wait_ms=5000).status == 502
    assert time.monotonic() < started_at + 2


class _Holding:
    """A script whose responses keep a large part of a body for a while."""

    def __init__(self) -> None:
        self.released = threading.Event()

    def __call__(self, conn: socket.socket, request: ReceivedRequest) -> bool:
        length = 4 * _LARGE_BYTES
        conn.sendall(_head(request.attempt_id, f'Content-Length: {length}'))
        with suppress(OSError):
            conn.sendall(b'a' * _LARGE_BYTES)
            self.released.wait(5)
        return False


def test_responses_together_hold_a_limited_memory(
    bench: Bench, gateway: ServedGateway
) -> None:
    """Guards against endpoints that fill the memory of a host.

    Sound responses are still delivered while large ones hold the limit.
    """
    bench.upstream.response_memory = ResponseMemory(_MEMORY_BYTES)
    holding = _Holding()
    bench.serve(holding)
    received: list[Received] = []

    def ask() -> None:  # noqa: WPS430
        received.append(gateway.ask('once', wait_ms=4000))

    threads = [threading.Thread(target=ask) for _ in range(4)]
    for thread in threads:
        thread.start()
    _wait_for(lambda: len(received) >= 2)
    assert {response.status for response in received} == {502}
    assert len(received) < len(threads)
    holding.released.set()
    for thread in threads:
        thread.join()
    bench.serve(respond_with(body=b'sound'))
    assert gateway.ask('once').body == b'sound'


def test_memory_of_a_response_is_released_with_it() -> None:
    memory = ResponseMemory(_MEMORY_BYTES)
    for _ in itertools.repeat(None, 5):
        memory.hold().resize(_MEMORY_BYTES)


def test_body_is_held_until_it_is_delivered(bench: Bench) -> None:
    """Guards against callers that read large responses slowly."""
    memory = ResponseMemory(_MEMORY_BYTES)
    bench.upstream.response_memory = memory
    bench.serve(respond_with(body=b'a' * _LARGE_BYTES))
    response: WebResponse | None = bench.forwarder.forward(bench.call())
    assert response is not None
    with pytest.raises(ResponseMemoryError):
        memory.hold().resize(_MEMORY_BYTES)
    assert b''.join(response.chunks) == b'a' * _LARGE_BYTES
    response = None
    memory.hold().resize(_MEMORY_BYTES)


def _wait_for(is_done: Callable[[], bool]) -> None:
    until = time.monotonic() + 3
    while time.monotonic() < until and not is_done():
        time.sleep(0.02)


def test_lack_of_memory_is_no_failure_of_the_endpoint(bench: Bench) -> None:
    """Guards against sound endpoints that are avoided for slow callers."""
    bench.upstream.response_memory = ResponseMemory(1)
    bench.serve(respond_with(body=b'a' * _LARGE_BYTES))
    with pytest.raises(AnswerMemoryError):
        bench.forwarder.forward(bench.call())
    endpoints = bench.dispatcher.read_placement(
        lambda placement: placement.table.all_endpoints()
    )
    assert not any(endpoint.has_failed for endpoint in endpoints)
