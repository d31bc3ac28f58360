"""Guards against smuggled requests, sent over a real socket."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest
from gateway.served_gateway import start_listener

from apricotcart.gateway.listener import HEADERS_KEY

_TIMEOUT_S = 5


class Listener:
    """A listener whose application records the requests."""

    def __init__(self) -> None:
        self.targets: list[str] = []
        self.headers: list[Any] = []
        self.release = threading.Event()
        self.release.set()
        self.server = start_listener(self._app)

    def send(self, request: bytes) -> bytes:
        with socket.create_connection(
            self.server.bind_addr, _TIMEOUT_S
        ) as conn:
            conn.sendall(request)
            conn.shutdown(socket.SHUT_WR)
            received = b''
            while True:
                chunk = conn.recv(65536)
                if not chunk:
                    return received
                received += chunk

    def stop(self) -> None:
        self.release.set()
        self.server.stop()

    def _app(self, environ: Any, start_response: Any) -> list[bytes]:
        self.release.wait(_TIMEOUT_S)
        self.targets.append(environ['REQUEST_URI'])
        self.headers.append(environ[HEADERS_KEY])
        body = environ['wsgi.input'].read()
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]


@pytest.fixture
def listener() -> Iterator[Listener]:
    """Return a listener on loopback."""
    created = Listener()
    yield created
    created.stop()


def _request(*headers: bytes, body: bytes = b'') -> bytes:
    lines = [b'POST /a%2Fb//c?d=%41 HTTP/1.1', b'Host: h', *headers, b'', body]
    return b'\r\n'.join(lines)


def test_headers_keep_order_case_and_repetitions(listener: Listener) -> None:
    listener.send(_request(b'X-b: 1', b'x-A:  2 ', b'X-b: 3'))
    assert listener.headers[0][1:] == [
        ('X-b', '1'),
        ('x-A', '2'),
        ('X-b', '3'),
    ]
    assert listener.targets == ['/a%2Fb//c?d=%41']


_SMUGGLED = b'GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n'


@pytest.mark.parametrize(
    'headers',
    [
        [b'Content-Length: 4', b'Content-Length: 40'],
        [b'Content-Length: 4', b'Transfer-Encoding: chunked'],
        [b'Transfer-Encoding: chunked', b'Transfer-Encoding: identity'],
        [b'Transfer-Encoding: xchunked'],
        [b'Transfer-Encoding : chunked'],
        [b'Content-Length: +4'],
        [b'Content-Length: 4, 40'],
        [b'X: 1', b' Content-Length: 4'],
        [b'Host: other'],
        [b'X\x00: 1'],
    ],
)
def test_ambiguous_framing_is_rejected(
    listener: Listener,
    headers: list[bytes],
) -> None:
    received = listener.send(_request(*headers, body=b'0000' + _SMUGGLED))
    assert received.startswith(b'HTTP/1.1 400')
    assert not listener.targets


def test_request_in_a_body_is_not_executed(listener: Listener) -> None:
    length = b'Content-Length: %d' % len(_SMUGGLED)
    received = listener.send(_request(length, body=_SMUGGLED))
    assert listener.targets == ['/a%2Fb//c?d=%41']
    assert received.endswith(_SMUGGLED)


def test_thread_pool_grows_instead_of_queueing(listener: Listener) -> None:
    listener.release.clear()
    threads = [
        threading.Thread(target=listener.send, args=(_request(),))
        for _ in range(9)
    ]
    for thread in threads:
        thread.start()
    listener.release.set()
    for thread in threads:
        thread.join(_TIMEOUT_S)
    assert len(listener.targets) == 9


def test_connection_is_queued_if_no_thread_can_be_started(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an error that ends the thread which queued a connection.

    A drain then did not get to close the idle connections.
    """

    def fail() -> None:
        raise RuntimeError("can't start new thread")

    pool = listener.server.requests
    monkeypatch.setattr(pool, '_spawn_worker', fail)
    served = threading.Event()
    conn = SimpleNamespace(communicate=served.set, close=lambda: None)
    listener.release.clear()
    busy = threading.Thread(target=listener.send, args=(_request(),))
    busy.start()
    pool.put(conn)
    listener.release.set()
    assert served.wait(_TIMEOUT_S)
    busy.join()
