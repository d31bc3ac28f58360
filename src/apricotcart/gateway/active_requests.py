"""Requests in progress, and the phases of a planned shutdown."""

from __future__ import annotations

import enum
import threading


class Phase(enum.IntEnum):
    """Phase of a planned shutdown."""

    SERVING = 0
    # No longer in the directory; still serves callers with a cached answer.
    LEAVING = 1
    # Refuses new streams, which would not end before the process is killed.
    CLOSING = 2
    # Refuses all new requests and finishes those in progress.
    FINISHING = 3


class ActiveRequests:
    """Counts the requests in progress.

    Attributes
    ----------
    phase : Phase
        Phase of a planned shutdown.
    """

    __slots__ = ('_count', '_idle', '_lock', 'phase')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle = threading.Condition(self._lock)
        self._count = 0
        self.phase = Phase.SERVING

    @property
    def closes_connections(self) -> bool:
        """Whether connections are closed after the response."""
        return self.phase is not Phase.SERVING

    def refuses(self, *, is_stream: bool) -> bool:
        """Return whether a new request is refused."""
        last_phase = Phase.LEAVING if is_stream else Phase.CLOSING
        return self.phase > last_phase

    def enter(self) -> None:
        """Count a request that starts."""
        with self._lock:
            self._count += 1

    def leave(self) -> None:
        """Count a request that ends."""
        with self._lock:
            self._count -= 1
            if not self._count:
                self._idle.notify_all()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; return False on timeout."""
        with self._lock:
            return self._idle.wait_for(
                lambda: not self._count,
                max(0, timeout_s),
            )
