"""Guards against answers of endpoints that have no end, on the entry hosts."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import suppress

import pytest

from apricotcart.entry.errors import EndpointCrashedError, EndpointError
from apricotcart.entry.upstream import Upstream, UpstreamCall
from apricotcart.responses.memory import ResponseMemory

_TIMEOUT_S = 0.6
_LATE_S = 0.3
_DRIP_S = 0.05
_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_EVENTS = _HEAD + b'Content-Type: text/event-stream\r\n\r\n'
_LARGE_BYTES = 1_048_576


class Endpoint:
    """Sends the beginning of an answer, and then a block again and again."""

    def __init__(self, begin: bytes, block: bytes, count: int = 1000) -> None:
        self._begin = begin
        self._block = block
        self._count = count
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.url = f'http://127.0.0.1:{self._listener.getsockname()[1]}/'
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            conn, _ = self._listener.accept()
            self._answer(conn)

    def _answer(self, conn: socket.socket) -> None:
        with conn, suppress(OSError):
            conn.recv(65536)
            conn.sendall(self._begin)
            for _ in range(self._count):
                conn.sendall(self._block)
                time.sleep(_DRIP_S)
            conn.shutdown(socket.SHUT_WR)
            conn.recv(65536)

    def close(self) -> None:
        self._listener.close()


@pytest.fixture
def endpoint(request: pytest.FixtureRequest) -> Iterator[Endpoint]:
    """Run the endpoint that the test names."""
    running = Endpoint(*request.param)
    yield running
    running.close()


def _call(url: str) -> UpstreamCall:
    return UpstreamCall(
        method='POST',
        url=url,
        headers={},
        body=b'x',
        request_id='r',
        read_timeout_s=_TIMEOUT_S,
    )


_ENDLESS = {
    'header': (_HEAD + b'X-Fill: ', b'a'),
    'body': (_HEAD + b'Content-Length: 999999\r\n\r\n', b'a'),
    'chunk-size': (_CHUNKED + b'5;x=', b'a'),
    'events': (_EVENTS, b'data: a\n\n'),
    'trailers': (_CHUNKED + b'2\r\nok\r\n0\r\n', b'X-Fill: a\r\n'),
}


@pytest.mark.parametrize(
    'endpoint', _ENDLESS.values(), ids=_ENDLESS, indirect=True
)
def test_answer_without_end_ends_with_its_timeout(endpoint: Endpoint) -> None:
    started_at = time.monotonic()
    with pytest.raises(EndpointError):
        Upstream(1).send(_call(endpoint.url)).read(_LARGE_BYTES)
    assert time.monotonic() < started_at + _TIMEOUT_S + _LATE_S


@pytest.mark.parametrize(
    'endpoint', [(_EVENTS, b'data: a\n\n', 20)], indirect=True
)
def test_stream_may_last_longer_than_one_read(endpoint: Endpoint) -> None:
    answer = Upstream(1).send(_call(endpoint.url))
    assert b''.join(answer.chunks()) == b'data: a\n\n' * 20


@pytest.mark.parametrize(
    'endpoint', [(_CHUNKED, b'%x\r\n%s\r\n' % (4, b'aaaa'))], indirect=True
)
def test_answers_together_hold_a_limited_memory(endpoint: Endpoint) -> None:
    memory = ResponseMemory(_LARGE_BYTES)
    others = memory.hold()
    others.resize(_LARGE_BYTES)
    large = Endpoint(_CHUNKED, b'%x\r\n%s\r\n' % (99999, b'a' * 99999))
    with pytest.raises(EndpointCrashedError):
        Upstream(1, memory).send(_call(large.url)).read(_LARGE_BYTES)
    large.close()
