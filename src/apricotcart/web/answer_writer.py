"""Writes answers to a caller, who may read them slowly or not at all."""

from __future__ import annotations

import math
import os
import select
import socket
from collections.abc import Iterator
from contextlib import suppress
from typing import Any, Final

from apricotcart.responses.memory import HeldBytes, SlowReader
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.answer_queue import AnswerQueue

_MS_PER_S: Final = 1000
# Maximum size that is sent to one caller before others have their turn.
_TURN_BYTES: Final = 1_048_576
# What a connection, its buffers and its thread hold beside the answer.
_CONNECTION_BYTES: Final = 16_384
_THREAD_BYTES: Final = 131_072
# Rate in bytes/s below which a caller uses up its time without reading.
_MIN_BYTES_PER_S: Final = 1024


class AnswerWriter(SlowReader):
    """Writes to the socket of a connection.

    An answer that is whole is queued and sent without waiting: by the thread
    of the request first, and by the thread that selects connections as the
    caller reads. For a stream, the thread of the request waits.

    Parameters
    ----------
    conn : DeadlineConnection
        The connection.
    """

    __slots__ = (
        '_conn',
        '_held',
        '_is_queueing',
        '_queue',
        '_sent_bytes',
        '_waited_s',
        '_waiting_since',
        'bytes_written',
    )

    def __init__(self, conn: Any) -> None:
        self._conn = conn
        self._queue = AnswerQueue()
        self._is_queueing = False
        self._held: HeldBytes | None = None
        self._sent_bytes = 0
        self._waited_s: float = 0
        self._waiting_since: float | None = None
        # For the statistics of cheroot.
        self.bytes_written = 0

    @property
    def has_unsent(self) -> bool:
        """Whether a part of a whole answer is not sent."""
        return bool(self._queue)

    def start_answer(self) -> None:
        """Count the time and bytes of a new answer."""
        self._is_queueing = False
        self._held = None
        self._sent_bytes = 0
        self._waited_s = 0

    def start_queueing(self, held: HeldBytes | None) -> None:
        """Queue what is written from now on.

        Parameters
        ----------
        held : HeldBytes or None
            Counts what the answer holds; None if nothing does yet.
        """
        self._is_queueing = True
        self._held = held

    def write(self, piece: bytes) -> int:
        """Write bytes, or queue them; return their number."""
        if self._is_queueing:
            self.queue(iter((piece,)))
        else:
            self._write_waiting(memoryview(piece))
        return len(piece)

    def queue(self, pieces: Iterator[bytes]) -> None:
        """Queue the pieces of a whole answer."""
        self._queue.add(pieces)

    def send_available(self) -> None:
        """Send of the queue what the caller takes without waiting.

        A fast caller gets a part at a time, so that others get theirs.

        Raises
        ------
        OSError
            If the connection has ended; nothing is left then.
        """
        sent = 0
        while self._queue.peek() and sent < _TURN_BYTES:
            size = self._send(self._queue.peek())
            if not size:
                return
            self._queue.drop(size)
            sent += size

    def start_waiting(self) -> None:
        """Note that the queue is left to the selecting thread."""
        self._waiting_since = boot_clock_s()
        extra = _CONNECTION_BYTES + len(self._queue.peek())
        self._hold().start_waiting(self, extra)

    def stop_waiting(self) -> None:
        """Note that the queue is sent, or given up."""
        if self._waiting_since is not None:
            self._waited_s += boot_clock_s() - self._waiting_since
            self._waiting_since = None
        if self._held is not None:
            self._held.stop_waiting()

    def is_too_slow(self) -> bool:
        """Return whether the caller has used up its time without reading."""
        waited_s = self._waited_s
        if self._waiting_since is not None:
            waited_s += boot_clock_s() - self._waiting_since
        return waited_s > _allowed_s(
            self._conn.server.timeout, self._sent_bytes
        )

    def discard(self) -> None:
        """Drop what is not sent."""
        self._queue.clear()
        self.stop_waiting()
        self._held = None

    def end(self) -> None:
        """End the answer as incomplete."""
        self._conn.resets_on_close = True
        with suppress(OSError):
            self._conn.socket.shutdown(socket.SHUT_RDWR)

    def _write_waiting(self, piece: memoryview) -> None:
        left = piece
        while left:
            size = self._send(left)
            left = left[size:]
            if left:
                self._wait_writable()

    def _send(self, left: memoryview) -> int:
        """Return how many bytes were sent without waiting."""
        try:
            # Not the method of the socket, which would wait.
            size = os.write(self._conn.socket.fileno(), left)
        except BlockingIOError:
            return 0
        except OSError:
            self.discard()
            raise
        self._sent_bytes += size
        self.bytes_written += size
        return size

    def _wait_writable(self) -> None:
        """Wait until the caller reads; raise TimeoutError if it does not."""
        server = self._conn.server
        allowed_s = _allowed_s(server.timeout, self._sent_bytes)
        longest_s = min(server.timeout, allowed_s - self._waited_s)
        self._waiting_since = boot_clock_s()
        self._hold().start_waiting(self, _THREAD_BYTES, server)
        poller = select.poll()
        poller.register(self._conn.socket, select.POLLOUT)
        is_writable = poller.poll(max(0, math.ceil(longest_s * _MS_PER_S)))
        self.stop_waiting()
        if not is_writable:
            self._conn.resets_on_close = True
            # cheroot recognises time-outs by this text.
            raise TimeoutError('timed out')

    def _hold(self) -> HeldBytes:
        """Return what counts the answer."""
        if self._held is None:
            self._held = self._conn.server.response_memory.hold()
        return self._held


def _allowed_s(timeout_s: float, sent_bytes: int) -> float:
    """Return for how long a caller may not read, in seconds."""
    return timeout_s + sent_bytes / _MIN_BYTES_PER_S
