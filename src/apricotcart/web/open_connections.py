"""The open connections of an HTTP server, and what each one is doing."""

from __future__ import annotations

import enum
import threading
from collections import Counter
from typing import Any, Final

from apricotcart.timers.clock import boot_clock_s

# How long the process waits for a peer to read the end of its last answer and
# to close. A peer that has read it closes within a round trip; bytes of a
# peer that arrive after the close would reset the connection.
LINGER_S: Final = 0.25


class Activity(enum.Enum):
    """What a connection is doing; the values name fields of the log."""

    # New; nothing has arrived on it.
    AWAITED = 'awaiting_request'
    # Waits for a thread that reads its request.
    QUEUED = 'awaiting_thread'
    # The head of its request arrives, or a thread reads it.
    READING = 'being_read'
    # Its request has no whole answer yet, or the answer is not flushed.
    ANSWERING = 'unanswered'
    # Kept for the next request.
    IDLE = 'idle'
    # Its last answer is written; waits for the peer to close.
    CLOSING = 'closing'


class OpenConnections:
    """Keeps the connections of a server from the accept to the close."""

    __slots__ = ('_changed', '_closing', '_in_use')

    def __init__(self) -> None:
        self._in_use: set[Any] = set()
        # When the end of the stream was sent, in seconds of the boot clock.
        self._closing: dict[Any, float] = {}
        self._changed = threading.Condition()

    def add(self, conn: Any) -> None:
        """Keep a connection that was accepted."""
        with self._changed:
            self._in_use.add(conn)

    def start_closing(self, conn: Any) -> None:
        """Note that the last byte of a connection was written."""
        with self._changed:
            self._in_use.discard(conn)
            self._closing[conn] = boot_clock_s()
            self._notify_if_answered()

    def remove(self, conn: Any) -> None:
        """Forget a connection that was closed."""
        with self._changed:
            self._in_use.discard(conn)
            self._closing.pop(conn, None)
            self._notify_if_answered()

    def snapshot(self) -> list[Any]:
        """Return the connections that are open now."""
        with self._changed:
            return [*self._in_use, *self._closing]

    def counts(self) -> Counter[Activity]:
        """Return the number of connections by activity."""
        return Counter(conn.activity for conn in self.snapshot())

    def wait_answered(self, timeout_s: float) -> bool:
        """Wait until the last byte of each connection is written.

        Return False on timeout.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._in_use, max(0, timeout_s)
            )

    def wait_closed(self, timeout_s: float) -> None:
        """Wait until the peers close, for a limited time each.

        Parameters
        ----------
        timeout_s : float
            Limit for all of them in seconds.
        """
        ends_at = boot_clock_s() + timeout_s
        with self._changed:
            while self._closing:
                last_end = max(self._closing.values()) + LINGER_S
                remaining_s = min(ends_at, last_end) - boot_clock_s()
                if remaining_s <= 0:
                    return
                self._changed.wait(remaining_s)

    def _notify_if_answered(self) -> None:
        if not self._in_use:
            self._changed.notify_all()
