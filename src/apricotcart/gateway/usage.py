"""Counts the requests of each customer by time window."""

from __future__ import annotations

import threading
from typing import Final

from apricotcart.timers.clock import SteadyUnixClock, boot_clock_s

# Windows that are kept, so that a new leader can still report a window that its
# predecessor had not closed.
_MAX_WINDOWS: Final = 8


class UsageCounter:
    """Counts the requests that endpoints may have run.

    Parameters
    ----------
    clock : SteadyUnixClock
        Source of the Unix time that numbers the windows.
    window_s : float
        Length of a window in seconds.
    """

    __slots__ = ('_clock', '_counts', '_lock', '_window_s')

    def __init__(self, clock: SteadyUnixClock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._lock = threading.Lock()
        self._counts: dict[int, dict[str, int]] = {}

    def record_run(self, customer: str, began_at: float) -> None:
        """Count a request that an endpoint may have run.

        Parameters
        ----------
        customer : str
            Customer of the request; empty for public requests, which are
            not counted.
        began_at : float
            Start of the request on the boot clock, in seconds.
        """
        if not customer:
            return
        unix_s = self._clock.now_s() - (boot_clock_s() - began_at)
        window = int(unix_s // self._window_s)
        with self._lock:
            counts = self._counts.setdefault(window, {})
            counts[customer] = counts.get(customer, 0) + 1
            while len(self._counts) > _MAX_WINDOWS:
                self._counts.pop(min(self._counts))

    def counts(self) -> dict[int, dict[str, int]]:
        """Return the counts by window and customer."""
        with self._lock:
            return {
                window: dict(counts) for window, counts in self._counts.items()
            }
