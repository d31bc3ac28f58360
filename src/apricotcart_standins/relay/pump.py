"""One direction of a relayed connection."""

from __future__ import annotations

import queue
import socket
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_CHUNK_BYTES = 65536
_POLL_S = 0.01
_MAX_CHUNKS = 256

_Chunk = tuple[float, bytes]


class Pump:
    """Copies bytes from one socket to another with a delay.

    The time between chunks is preserved, so a delay adds latency and does
    not lower the throughput. While the direction is cut, bytes are
    buffered. They are sent when it is restored, as TCP does after a
    partition, unless the source was reset meanwhile: its kernel would no
    longer have sent them.

    Parameters
    ----------
    source, target : socket.socket
        Connected sockets.
    delay_s : Callable
        Returns the current delay, in seconds.
    is_cut : Callable
        Returns whether the direction is cut.
    on_reset : Callable
        Called when the source is reset.
    """

    __slots__ = (
        '_chunks',
        '_delay_s',
        '_is_cut',
        '_is_reset',
        '_on_reset',
        '_source',
        '_target',
        'has_ended',
        'peer',
    )

    def __init__(
        self,
        source: socket.socket,
        target: socket.socket,
        delay_s: Callable[[], float],
        is_cut: Callable[[], bool],
        on_reset: Callable[[], None],
    ) -> None:
        self._on_reset = on_reset
        self._source = source
        self._target = target
        self._delay_s = delay_s
        self._is_cut = is_cut
        self._chunks: queue.Queue[_Chunk] = queue.Queue(_MAX_CHUNKS)
        self._is_reset = False
        self.has_ended = False
        self.peer: Pump | None = None

    def start(self) -> None:
        """Copy in two threads until the source is closed."""
        for loop in (self._read_all, self._write_all):
            threading.Thread(target=loop, daemon=True).start()

    def _read_all(self) -> None:
        chunk = b'\0'
        while chunk:
            chunk = self._receive()
            self._chunks.put((time.monotonic() + self._delay_s(), chunk))

    def _write_all(self) -> None:
        chunk = b'\0'
        while chunk:
            due_at, chunk = self._chunks.get()
            time.sleep(max(due_at - time.monotonic(), 0))
            if self._was_reset_while_cut():
                chunk = b''
            _send(self._target, chunk)
        self.has_ended = True
        if self.peer and self.peer.has_ended:
            close_quietly(self._source)
            close_quietly(self._target)

    def _receive(self) -> bytes:
        try:
            return self._source.recv(_CHUNK_BYTES)
        except OSError:
            self._is_reset = True
            self._on_reset()
            return b''

    def _was_reset_while_cut(self) -> bool:
        was_cut = False
        while self._is_cut():
            was_cut = True
            time.sleep(_POLL_S)
        return was_cut and self._is_reset


def close_quietly(sock: socket.socket) -> None:
    """Shut down and close a socket; ignore one already disconnected."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        sock.close()
        return
    sock.close()


def _send(sock: socket.socket, chunk: bytes) -> None:
    try:
        _send_or_end(sock, chunk)
    except OSError:
        close_quietly(sock)


def _send_or_end(sock: socket.socket, chunk: bytes) -> None:
    if chunk:
        sock.sendall(chunk)
    else:
        sock.shutdown(socket.SHUT_WR)
