"""The connection of a request, which other threads may abort."""

from __future__ import annotations

import threading

from apricotcart.gateway.exchanges.connections import EndpointConnection


class HeldConnection:
    """The connection on which a request waits, as long as it holds one.

    Another thread may abort the connection at any time, but no longer once
    the request has released it: the next request may use it then.
    """

    __slots__ = ('_conn', '_lock')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._conn: EndpointConnection | None = None

    def hold(self, conn: EndpointConnection) -> None:
        """Let other threads abort a connection."""
        with self._lock:
            self._conn = conn

    def release(self) -> None:
        """Wait for an abort in progress, and allow no further one."""
        with self._lock:
            self._conn = None

    def abort(self) -> None:
        """Shut the connection down, if the request still holds it."""
        with self._lock:
            if self._conn is not None:
                self._conn.abort()
