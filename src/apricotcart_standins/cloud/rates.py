"""Rate limit of the weight store."""

from __future__ import annotations

import threading
import time


class RateLimit:
    """Token bucket of whole downloads.

    Parameters
    ----------
    rate : float
        Downloads per second.
    burst : float
        Downloads that may start at once after a pause.
    """

    __slots__ = ('_at', '_burst', '_left', '_lock', '_rate')

    def __init__(self, rate: float, burst: float) -> None:
        """Start with a full bucket."""
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._at = time.monotonic()
        self._lock = threading.Lock()

    def take(self) -> float:
        """Start one download.

        Returns
        -------
        float
            0 if it may start, else the seconds until one may.
        """
        with self._lock:
            now = time.monotonic()
            refilled = self._left + (now - self._at) * self._rate
            self._left = min(self._burst, refilled)
            self._at = now
            if self._left < 1:
                return (1 - self._left) / self._rate
            self._left -= 1
            return 0
