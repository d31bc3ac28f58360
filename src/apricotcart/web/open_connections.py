"""The open connections of an HTTP server, and what each one is doing."""

from __future__ import annotations

import enum
import threading
from collections import Counter
from collections.abc import Callable
from typing import Any


class Activity(enum.Enum):
    """What a connection is doing; the values name fields of the log."""

    # Waits for a thread that reads its request.
    QUEUED = 'awaiting_thread'
    # A thread reads the head of its request.
    READING = 'being_read'
    # Its request has no whole answer yet, or the answer is not flushed.
    ANSWERING = 'unanswered'
    # Kept for the next request.
    IDLE = 'idle'
    # Its last answer is written; waits for the peer to close.
    CLOSING = 'closing'


class OpenConnections:
    """Keeps the connections of a server from the accept to the close."""

    __slots__ = ('_changed', '_connections')

    def __init__(self) -> None:
        self._connections: set[Any] = set()
        self._changed = threading.Condition()

    def add(self, conn: Any) -> None:
        """Keep a connection that was accepted."""
        with self._changed:
            self._connections.add(conn)

    def remove(self, conn: Any) -> None:
        """Forget a connection that was closed."""
        with self._changed:
            self._connections.discard(conn)
            self._changed.notify_all()

    def notify(self) -> None:
        """Wake the waiting threads after a change of an activity."""
        with self._changed:
            self._changed.notify_all()

    def snapshot(self) -> list[Any]:
        """Return the connections that are open now."""
        with self._changed:
            return list(self._connections)

    def counts(self) -> Counter[Activity]:
        """Return the number of connections by activity."""
        return Counter(conn.activity for conn in self.snapshot())

    def wait_for(
        self,
        predicate: Callable[[set[Any]], bool],
        timeout_s: float,
    ) -> bool:
        """Wait until the open connections fulfil a predicate."""
        with self._changed:
            return self._changed.wait_for(
                lambda: predicate(self._connections), max(0, timeout_s)
            )
