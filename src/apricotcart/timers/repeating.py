"""A thread that runs a task repeatedly."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from typing import Final

_LOG = logging.getLogger(__name__)
# Delay after the first run if it cannot be determined.
_FIRST_DELAY_S: Final = 1.0


class RepeatingTimer:
    """Runs a task repeatedly, with a delay between runs, until stopped.

    Parameters
    ----------
    name : str
        Name of the thread.
    interval_s : float or callable
        Delay between two runs in seconds, or a function that is called after
        each run and returns it. If it fails, the last delay holds.
    task : callable
        Task to run; an exception is logged and does not stop the timer.
    """

    __slots__ = (
        '_interval_s',
        '_last_delay_s',
        '_stopping',
        '_task',
        '_thread',
    )

    def __init__(
        self,
        name: str,
        interval_s: float | Callable[[], float],
        task: Callable[[], object],
    ) -> None:
        """Create the thread without starting it."""
        self._interval_s = interval_s
        self._last_delay_s = _FIRST_DELAY_S
        self._task = task
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            daemon=True,
            name=name,
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the timer and wait for a current run to end."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._run_once()
            self._stopping.wait(self._delay_s())

    def _delay_s(self) -> float:
        if not callable(self._interval_s):
            return self._interval_s
        try:
            self._last_delay_s = self._interval_s()
        except Exception:
            _LOG.exception('the delay of %s failed', self._thread.name)
        return self._last_delay_s

    def _run_once(self) -> None:
        try:
            self._task()
        except Exception:
            _LOG.exception('%s failed', self._thread.name)
