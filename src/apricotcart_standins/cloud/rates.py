"""Rate limit of the weight store."""

from __future__ import annotations

import threading
import time


class RateLimit:
    """Token bucket in which one token is one download.

    Parameters
    ----------
    rate : float
        Downloads per second.
    burst : float
        Capacity of the bucket: downloads that may start at once.
    """

    __slots__ = ('_refilled_at', '_burst', '_tokens', '_lock', '_rate')

    def __init__(self, rate: float, burst: float) -> None:
        """Initialize a full bucket."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()

    def try_acquire(self) -> float:
        """Start a download if the rate limit allows it.

        Returns
        -------
        float
            0 if it may start, else the seconds until the next one may.
        """
        with self._lock:
            now = time.monotonic()
            refilled = self._tokens + (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, refilled)
            self._refilled_at = now
            if self._tokens < 1:
                return (1 - self._tokens) / self._rate
            self._tokens -= 1
            return 0
