"""Guards against answers that are damaged as their callers read slowly."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterable, Iterator
from typing import Any, Final

import pytest
from gateway.served_gateway import Received, read_to_end

from apricotcart.responses.memory import ResponseMemory
from apricotcart.web.answering import ConnectionGateway
from apricotcart.web.deadlines import DeadlineConnection
from apricotcart.web.http_server import DrainingServer

_TIMEOUT_S: Final = 5
_GRACE_S: Final = 0.2
# More than the buffers of both sides hold.
_LARGE: Final = bytes(range(250)) * 40_000
_PIECES: Final = 100
_PIECE_BYTES: Final = len(_LARGE) // _PIECES
_LENGTH: Final = ('Content-Length', str(len(_LARGE)))
_THREADS: Final = 2
_CLOSE: Final = 'Connection: close\r\n'
_LIMIT_BYTES: Final = 1_000_000


def _app(environ: Any, start_response: Any) -> Iterable[bytes]:
    kind = environ['PATH_INFO']
    start_response('200 OK', [_LENGTH] if kind == '/length' else [])
    if kind == '/small':
        return [b'small']
    pieces = [
        _LARGE[start : start + _PIECE_BYTES]
        for start in range(0, len(_LARGE), _PIECE_BYTES)
    ]
    return iter(pieces) if kind == '/stream' else pieces


@pytest.fixture
def server() -> Iterator[Any]:
    """Return a server with two threads."""
    created: Any = DrainingServer(
        ('127.0.0.1', 0), _app, numthreads=_THREADS, timeout=_TIMEOUT_S
    )
    created.ConnectionClass = DeadlineConnection
    created.gateway = ConnectionGateway
    created.header_timeout_s = _TIMEOUT_S
    created.body_timeout_s = _TIMEOUT_S
    created.response_memory = ResponseMemory(_LIMIT_BYTES, _GRACE_S)
    created.prepare()
    threading.Thread(target=created.serve, daemon=True).start()
    yield created
    created.stop()


def _ask(
    server: Any, path: str, http: str = '1.1', extra: str = ''
) -> socket.socket:
    conn = socket.create_connection(server.bind_addr, _TIMEOUT_S)
    conn.sendall(f'GET {path} HTTP/{http}\r\nHost: h\r\n{extra}\r\n'.encode())
    return conn


def _read_slowly(conn: socket.socket) -> Received:
    time.sleep(_GRACE_S)
    return read_to_end(conn)


@pytest.mark.parametrize('path', ['/length', '/chunked', '/stream'])
@pytest.mark.parametrize('http', ['1.0', '1.1'])
def test_slow_reader_gets_the_whole_answer(
    server: Any, path: str, http: str
) -> None:
    """Guards against pieces that are lost, doubled or out of order."""
    with _ask(server, path, http, _CLOSE) as conn:
        answer = _read_slowly(conn)
    assert answer.is_complete
    assert answer.body == _LARGE


def test_next_request_is_answered_after_a_queued_answer(server: Any) -> None:
    """Guards against a connection that is lost after a large answer."""
    following = b'GET /small HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    with _ask(server, '/length') as conn:
        conn.sendall(following)
        answer = _read_slowly(conn)
    body, _, rest = answer.body.partition(b'HTTP/1.1 200 OK')
    assert body == _LARGE
    assert b'small' in rest


def test_answers_that_nobody_reads_occupy_no_thread(server: Any) -> None:
    """Guards against slow readers who take all threads."""
    slow = [_ask(server, '/length') for _ in range(2 * _THREADS)]
    with _ask(server, '/small', extra=_CLOSE) as conn:
        assert read_to_end(conn).status == 200
    for other in slow:
        other.close()


@pytest.mark.parametrize('http', ['1.0', '1.1'])
def test_stream_that_keeps_a_thread_waiting_ends_as_broken(
    server: Any, http: str
) -> None:
    """Guards against streams that nobody reads, and that keep all threads.

    Their callers must not take them for complete.
    """
    slow = [_ask(server, '/stream', http, _CLOSE) for _ in range(_THREADS)]
    time.sleep(2 * _GRACE_S)
    with _ask(server, '/small', extra=_CLOSE) as conn:
        assert read_to_end(conn).status == 200
    answers = [read_to_end(conn) for conn in slow]
    assert not all(answer.is_complete for answer in answers)
    for other in slow:
        other.close()


def test_answer_gives_way_as_broken(server: Any) -> None:
    """Guards against a queued answer that ends early and looks complete."""
    with _ask(server, '/chunked') as conn:
        time.sleep(2 * _GRACE_S)
        # Room for it alone, without the connection.
        server.response_memory.hold().resize(_LIMIT_BYTES + 10_000)
        answer = _read_slowly(conn)
    assert not answer.is_complete
