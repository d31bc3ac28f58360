"""Reads from a socket until a deadline."""

from __future__ import annotations

import io
import socket
from typing import Any, Final

from apricotcart.timers.clock import boot_clock_s

# Lower bound, since a timeout of 0 makes the socket non-blocking.
_TIMEOUT_MIN_S: Final = 0.001


class DeadlineReader(io.RawIOBase):
    """Unbuffered reader with one deadline for any number of reads.

    The timeout of a socket starts anew with each read, so that a peer which
    sends a byte at a time could hold a thread for ever.

    Parameters
    ----------
    sock : socket.socket
        The socket; its timeout is changed by each read.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._sock = sock
        self._reader: Any = sock.makefile('rb', buffering=0)
        self._deadline: float | None = None

    def limit_time(self, timeout_s: float | None) -> None:
        """Let all reads from now on together take this long, in seconds.

        Without a limit, the timeout of the socket holds for each read.
        """
        if timeout_s is None:
            self._deadline = None
        else:
            limit_s = max(timeout_s, _TIMEOUT_MIN_S)
            self._deadline = boot_clock_s() + limit_s

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read into the buffer; raise TimeoutError at the deadline."""
        if self._deadline is not None:
            remaining_s = self._deadline - boot_clock_s()
            if remaining_s <= 0:
                # cheroot recognises time-outs by this text.
                raise TimeoutError('timed out')
            self._sock.settimeout(remaining_s)
        size: int | None = self._reader.readinto(buffer)
        return size

    def close(self) -> None:
        """Release the socket."""
        self._reader.close()
        super().close()
