"""Requests in progress, and the phases of a planned stop."""

from __future__ import annotations

import enum
import threading


class Phase(enum.IntEnum):
    """How far a planned stop is."""

    SERVING = 0
    # Named to nobody any more; takes what callers with old answers send.
    LEAVING = 1
    # Refuses streams, which would not end before the kill.
    CLOSING = 2
    # Refuses new requests and finishes the others.
    FINISHING = 3


class RunningCalls:
    """Counts the requests in progress.

    Attributes
    ----------
    phase : Phase
        How far a planned stop is.
    """

    __slots__ = ('_count', '_idle', '_lock', 'phase')

    def __init__(self) -> None:
        """Start without requests."""
        self._lock = threading.Lock()
        self._idle = threading.Condition(self._lock)
        self._count = 0
        self.phase = Phase.SERVING

    @property
    def closes_connections(self) -> bool:
        """Whether connections are closed after their answer."""
        return self.phase is not Phase.SERVING

    def refuses(self, *, is_stream: bool) -> bool:
        """Tell whether a new request is refused."""
        last_phase = Phase.LEAVING if is_stream else Phase.CLOSING
        return self.phase > last_phase

    def enter(self) -> None:
        """Note that a request has begun."""
        with self._lock:
            self._count += 1

    def leave(self) -> None:
        """Note that a request has ended."""
        with self._lock:
            self._count -= 1
            if not self._count:
                self._idle.notify_all()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; False if it takes longer."""
        with self._lock:
            return self._idle.wait_for(
                lambda: not self._count,
                max(0, timeout_s),
            )
