"""Endpoints on loopback that respond with given bytes."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

WAIT_S = 5


class ReceivedRequest:
    """A request as an endpoint received it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        self.head = head
        self.body = body

    @property
    def attempt_id(self) -> str:
        return self.header('attempt-id')

    def header(self, name: str) -> str:
        for line in self.head.split(b'\r\n')[1:]:
            key, _, value = line.decode('latin-1').partition(':')
            if key.lower() == name:
                return value.strip()
        return ''


Script = Callable[[socket.socket, ReceivedRequest], bool]


class RawEndpoint:
    """Reads requests and calls a script to respond to each.

    The script returns whether the connection stays open.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.closed_at: list[float] = []
        self._listener = socket.create_server(('127.0.0.1', 0))
        port = self._listener.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def refuse(self) -> None:
        """Refuse connections; the port stays taken."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: socket.socket) -> None:
        conn.settimeout(WAIT_S)
        with conn, contextlib.suppress(OSError):
            while True:
                request = _read_request(conn)
                if request is None:
                    break
                self.received.append(request)
                if not self.script(conn, request):
                    break
        self.closed_at.append(time.monotonic())


def _read_request(conn: socket.socket) -> ReceivedRequest | None:
    buffer = b''
    while b'\r\n\r\n' not in buffer:
        chunk = conn.recv(65536)
        if not chunk:
            return None
        buffer += chunk
    head, _, body = buffer.partition(b'\r\n\r\n')
    request = ReceivedRequest(head, body)
    length = int(request.header('content-length') or 0)
    while len(request.body) < length:
        request.body += conn.recv(65536)
    return request


def response_bytes(
    request: ReceivedRequest,
    body: bytes = b'ok',
    status: str = '200 OK',
    **headers: str,
) -> bytes:
    """Return the bytes of a complete response."""
    lines = [
        f'HTTP/1.1 {status}',
        f'Attempt-Id: {headers.pop("attempt_id", request.attempt_id)}',
        f'Content-Length: {headers.pop("length", len(body))}',
        'Server-Stamp: s',
    ]
    lines.extend(
        f'{name.replace("_", "-")}: {value}' for name, value in headers.items()
    )
    return '\r\n'.join([*lines, '', '']).encode() + body


def stream_head(request: ReceivedRequest) -> bytes:
    """Return the headers of a chunked event stream."""
    return (
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt_id}\r\n'
        'Server-Stamp: s\r\nContent-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def chunk(payload: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(payload), payload)


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b'id: %d\ndata: t%d\n\n' % (number, number)


LAST_CHUNK = b'0\r\n\r\n'


def respond_with(**fields: Any) -> Script:
    """Return a script with the same response to each request."""

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(response_bytes(request, **fields))
        return True

    return script
