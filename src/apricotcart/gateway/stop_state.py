"""Phases of a planned shutdown, and the end of requests that outlast it."""

from __future__ import annotations

import enum
import math
import threading
from collections.abc import Callable

from apricotcart.timers.clock import boot_clock_s


class Phase(enum.IntEnum):
    """Phase of a planned shutdown."""

    SERVING = 0
    # No longer in the directory; still serves callers with a cached answer.
    LEAVING = 1
    # Refuses new requests that may not end before the process is killed.
    CLOSING = 2
    # Refuses all new requests and finishes those in progress.
    FINISHING = 3


class StopState:
    """Knows the phase of a stop, and ends the requests that outlast it.

    Attributes
    ----------
    phase : Phase
        Phase of a planned shutdown.
    ends_at : float
        When the shutdown ends, in seconds of the boot clock.
    """

    __slots__ = ('_lock', '_on_end', 'ends_at', 'phase')

    def __init__(self) -> None:
        self.ends_at: float = math.inf
        self._on_end: dict[int, Callable[[], None]] = {}
        self._lock = threading.Lock()
        self.phase = Phase.SERVING

    def refuses(self, longest_s: float) -> bool:
        """Return whether a new request is refused.

        Parameters
        ----------
        longest_s : float
            Longest time that it may take, in seconds.
        """
        if self.phase is Phase.CLOSING:
            return boot_clock_s() + longest_s > self.ends_at
        return self.phase is Phase.FINISHING

    def add_end_callback(self, on_end: Callable[[], None]) -> None:
        """Call a function if the request of this thread outlasts the host."""
        with self._lock:
            self._on_end[threading.get_ident()] = on_end

    def end_all(self) -> None:
        """Call the functions of all requests that are in progress."""
        with self._lock:
            callbacks = list(self._on_end.values())
        for on_end in callbacks:
            on_end()

    def remove_end_callback(self) -> None:
        """Forget the function of the request of this thread."""
        with self._lock:
            self._on_end.pop(threading.get_ident(), None)
