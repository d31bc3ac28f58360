"""Reads what a caller sends, before a deadline."""

from __future__ import annotations

import io
import math
import select
import socket
from contextlib import suppress
from typing import Any, Final

from cheroot.makefile import StreamReader

from apricotcart.timers.clock import boot_clock_s
from apricotcart.timers.deadline_reader import DeadlineReader

_MS_PER_S: Final = 1000


class InterruptibleReader(DeadlineReader):
    """Reads from a socket until a deadline or until another thread ends it."""

    def __init__(self, sock: Any) -> None:
        """Create a reader of the socket."""
        super().__init__(sock)
        self._is_reading = False
        self._is_ended = False
        self._has_received = False
        # Received by the thread that selects connections; read first.
        self._arrived = io.BytesIO()
        self._arrived_left = 0

    @property
    def has_arrived(self) -> bool:
        """Whether bytes are left of those that were received before."""
        return self._arrived_left > 0

    def put_back(self, received: bytes) -> None:
        """Let the next reads return bytes that were received before."""
        self._arrived = io.BytesIO(received)
        self._arrived_left = len(received)
        self._has_received = self._has_received or bool(received)

    def take_arrived(self) -> bytes:
        """Return and forget the bytes that were received before."""
        arrived = self._arrived.read()
        self.put_back(b'')
        return arrived

    def readinto(self, buffer: Any) -> int | None:
        """Read into the buffer; raise TimeoutError at the end."""
        if self._arrived_left:
            copied = self._arrived.readinto(buffer)
            self._arrived_left -= copied
            return copied
        self._is_reading = True
        size = super().readinto(buffer)
        self._is_reading = False
        if size:
            self._has_received = True
        elif self._is_ended:
            # cheroot recognises time-outs by this text.
            raise TimeoutError('timed out')
        return size

    def wait_readable(self, longest_s: float) -> bool:
        """Wait for bytes or the end of the connection.

        Return False if none arrived within a time in seconds.

        Raises
        ------
        TimeoutError
            If the deadline has passed.
        """
        wait_s = longest_s
        if self._deadline is not None:
            wait_s = min(wait_s, self._deadline - boot_clock_s())
        if wait_s <= 0 or self._is_ended:
            raise TimeoutError('timed out')
        if self._arrived_left or _has_decrypted_bytes(self._sock):
            return True
        self._is_reading = True
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        is_readable = bool(poller.poll(math.ceil(wait_s * _MS_PER_S)))
        self._is_reading = False
        return is_readable

    def end(self) -> None:
        """Let the read in progress and those that follow time out."""
        self._is_ended = True
        self.limit_time(0)
        # The watcher of callers takes the end of reading for a caller that
        # left, so it is only for a thread that waits in a read.
        if self._is_reading:
            self._shut_down()

    def shorten_time(self, timeout_s: float) -> None:
        """Let the reads from now on end after a time or at their deadline."""
        ends_at = boot_clock_s() + timeout_s
        if self._deadline is None or ends_at < self._deadline:
            self._deadline = ends_at

    def end_unstarted(self) -> None:
        """End reading as if the peer had closed, if it has sent nothing."""
        if not self._has_received:
            self._shut_down()

    def _shut_down(self) -> None:
        with suppress(OSError):
            # Not the method of a TLS socket, which would stop decrypting.
            socket.socket.shutdown(self._sock, socket.SHUT_RD)


class CallerReader(StreamReader):
    """Buffered reader over a socket with a deadline."""

    buffer_size: int
    _read_buf: bytes
    _read_pos: int

    def __init__(self, sock: Any, bufsize: int) -> None:
        """Create a buffered reader of the socket."""
        self.socket_reader = InterruptibleReader(sock)
        # Skips the parent's constructor, which creates its own socket reader.
        super(StreamReader, self).__init__(self.socket_reader, bufsize)
        self.bytes_read = 0

    def has_data(self) -> bool:
        """Return whether bytes of the next request have arrived."""
        return self._has_buffered() or self.socket_reader.has_arrived

    def take_received(self) -> bytes:
        """Return and forget all that was received and not read."""
        parts = []
        while self._has_buffered():
            parts.append(self.read1(self.buffer_size))
        return b''.join([*parts, self.socket_reader.take_arrived()])

    def _has_buffered(self) -> bool:
        return len(self._read_buf) > self._read_pos


def _has_decrypted_bytes(sock: Any) -> bool:
    """Return whether a TLS socket has bytes that no poll reports."""
    pending = getattr(sock, 'pending', None)
    return pending is not None and pending() > 0
