"""Callers outside the limits of a process, who send bodies and stay."""

from __future__ import annotations

import contextlib
import re
import selectors
import socket
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Final

_CONNECT_S: Final = 10.0
_SEND_BYTES: Final = 65_536
_SELECT_S: Final = 0.1
_LAST_BYTE: Final = 1
_LENGTH: Final = re.compile(rb'(?i)content-length: (\d+)')


class Body:
    """A body as it goes over the wire, without its last byte.

    Parameters
    ----------
    header : str
        Header that states its framing.
    payload : bytes
        The body with its framing.
    piece_bytes : int
        Most bytes that are sent at once.
    """

    __slots__ = ('header', 'payload', 'piece_bytes')

    def __init__(
        self, header: str, payload: bytes, piece_bytes: int = _SEND_BYTES
    ) -> None:
        self.header = header
        self.payload = payload[:-_LAST_BYTE]
        self.piece_bytes = piece_bytes

    @classmethod
    def whole(cls, size: int, piece_bytes: int = _SEND_BYTES) -> Body:
        """Return a body with a length."""
        return cls(f'Content-Length: {size}', b'x' * size, piece_bytes)

    @classmethod
    def chunked(cls, size: int, chunk_bytes: int) -> Body:
        """Return a body in chunks of the same size."""
        chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'x' * chunk_bytes)
        payload = chunk * (size // chunk_bytes)
        return cls('Transfer-Encoding: chunked', payload)

    def request(self, path: str, host: str) -> bytes:
        """Return the head of a request and this body."""
        lines = (
            f'POST {path} HTTP/1.1',
            f'Host: {host}',
            'Attempt-Id: crowd',
            'Deadline-Ms: 30000',
            self.header,
            '',
            '',
        )
        return '\r\n'.join(lines).encode() + self.payload


class Crowd:
    """Connections whose bodies are sent at the same time.

    Parameters
    ----------
    address : (str, int)
        Where to connect.
    request : bytes
        What each connection sends.
    count : int
        Number of connections.
    piece_bytes : int
        Most bytes that one connection sends at once.

    Attributes
    ----------
    answers : list of bytes
        What arrived on each connection.
    """

    def __init__(
        self,
        address: tuple[str, int],
        request: bytes,
        count: int,
        piece_bytes: int,
    ) -> None:
        self.answers = [b'' for _ in range(count)]
        self._address = address
        self._request = request
        self._piece_bytes = piece_bytes
        self._conns = [
            socket.create_connection(address, _CONNECT_S) for _ in range(count)
        ]
        self._sent = [0 for _ in range(count)]
        self._comes_back = False
        self._selector = selectors.DefaultSelector()
        for number in range(count):
            self._register(number)

    def send(self, longest_s: float, *, comes_back: bool = False) -> None:
        """Send until nothing is left, or for a time in seconds.

        Those that come back replace their connection when it ends.
        """
        self._comes_back = comes_back
        ends_at = time.monotonic() + longest_s
        while self._selector.get_map() and time.monotonic() < ends_at:
            for key, events in self._selector.select(_SELECT_S):
                self._serve(key.data, events)

    def receive(self, longest_s: float) -> None:
        """Read until all connections have ended, or for a time in seconds."""
        for number, conn in enumerate(self._conns):
            conn.setblocking(True)
            conn.settimeout(longest_s)
            with contextlib.suppress(OSError):
                while chunk := conn.recv(_SEND_BYTES):
                    self.answers[number] += chunk

    def close(self) -> None:
        """Close all connections."""
        for conn in self._conns:
            conn.close()
        self._selector.close()

    def _serve(self, number: int, events: int) -> None:
        conn = self._conns[number]
        try:
            if events & selectors.EVENT_READ:
                received = conn.recv(_SEND_BYTES)
                self.answers[number] += received
                if not received:
                    self._end(number)
                    return
            if events & selectors.EVENT_WRITE:
                self._send_piece(number)
        except BlockingIOError:
            return
        except OSError:
            self._end(number)

    def _register(self, number: int) -> None:
        conn = self._conns[number]
        conn.setblocking(False)
        self._selector.register(
            conn, selectors.EVENT_READ | selectors.EVENT_WRITE, number
        )

    def _end(self, number: int) -> None:
        self._selector.unregister(self._conns[number])
        if not self._comes_back:
            return
        self._conns[number].close()
        self._conns[number] = socket.create_connection(
            self._address, _CONNECT_S
        )
        self._sent[number] = 0
        self._register(number)

    def _send_piece(self, number: int) -> None:
        start = self._sent[number]
        end = start + self._piece_bytes
        conn = self._conns[number]
        self._sent[number] += conn.send(self._request[start:end])
        if self._sent[number] == len(self._request):
            self._selector.unregister(conn)


@contextlib.contextmanager
def crowd_at(
    address: tuple[str, int], request: bytes, count: int, piece_bytes: int
) -> Iterator[Crowd]:
    """Provide a crowd, and close its connections afterwards."""
    crowd = Crowd(address, request, count, piece_bytes)
    try:
        yield crowd
    finally:
        crowd.close()


def ask(address: tuple[str, int], lines: Sequence[str], wait_s: float) -> int:
    """Send a request without a body; return the status, 0 for no answer."""
    request = '\r\n'.join([*lines, 'Connection: close', '', '']).encode()
    received = b''
    with contextlib.suppress(OSError):
        with socket.create_connection(address, wait_s) as conn:
            conn.sendall(request)
            while chunk := conn.recv(_SEND_BYTES):
                received += chunk
    words = received.split(maxsplit=2)
    return int(words[1]) if len(words) > 1 else 0


def peak_bytes(pid: int) -> int:
    """Return the most memory that a process has had."""
    status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * 1024
    raise ValueError('the process has ended')


def count_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f'/proc/{pid}/fd').iterdir()))


def count_threads(pid: int) -> int:
    """Return how many threads a process has."""
    return len(list(Path(f'/proc/{pid}/task').iterdir()))
