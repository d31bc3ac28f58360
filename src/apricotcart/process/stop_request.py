"""Passes signals from their handlers to the main thread."""

from __future__ import annotations

import signal
from queue import SimpleQueue
from typing import Any

from apricotcart.timers.clock import boot_clock_s


class StopRequest:
    """Tells the main thread when to stop.

    A handler runs in the main thread between any two of its instructions, so
    that it must not take a lock: the interrupted code may hold it. That of a
    `threading.Event` or of the log would never be released. The queue used
    here may be filled from a handler.
    """

    __slots__ = ('_received',)

    def __init__(self) -> None:
        self._received: SimpleQueue[tuple[int, float]] = SimpleQueue()

    def on_signal(self, signal_number: int, frame: Any) -> None:
        """Handle a signal."""
        self._received.put((signal_number, boot_clock_s()))

    def stop(self) -> None:
        """Stop as if a signal had asked for it."""
        self.on_signal(signal.SIGTERM, frame=None)

    def wait(self) -> tuple[int, float]:
        """Wait for the next signal.

        Returns
        -------
        tuple of (int, float)
            Number of the signal, and when it came in seconds of the boot
            clock.
        """
        return self._received.get()
