"""Runs tasks at their time on one thread."""

from __future__ import annotations

import heapq
import itertools
import logging
import threading
from collections.abc import Callable

from apricotcart.timers.clock import boot_clock_s

_LOG = logging.getLogger(__name__)
Task = Callable[[], None]


class TaskTimer:
    """A thread that runs tasks when they are due.

    Tasks must not block, since all others wait for them.

    Parameters
    ----------
    name : str
        Name of the thread.
    """

    __slots__ = ('_changed', '_is_stopping', '_numbers', '_tasks', '_thread')

    def __init__(self, name: str) -> None:
        self._changed = threading.Condition()
        self._numbers = itertools.count()
        self._tasks: list[tuple[float, int, Task]] = []
        self._is_stopping = False
        self._thread = threading.Thread(
            target=self._run, daemon=True, name=name
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; tasks that are not due yet never run."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify()

    def add(self, due_at: float, task: Task) -> None:
        """Run a task at a time of the boot clock, in seconds."""
        with self._changed:
            heapq.heappush(self._tasks, (due_at, next(self._numbers), task))
            if self._tasks[0][0] == due_at:
                self._changed.notify()

    def _run(self) -> None:
        while True:
            task = self._next_task()
            if task is None:
                return
            try:
                task()
            except Exception:
                _LOG.exception('a timed task failed')

    def _next_task(self) -> Task | None:
        """Wait for the next task that is due; return None to stop."""
        with self._changed:
            while not self._is_stopping:
                if not self._tasks:
                    self._changed.wait()
                    continue
                wait_s = self._tasks[0][0] - boot_clock_s()
                if wait_s <= 0:
                    return heapq.heappop(self._tasks)[2]
                self._changed.wait(wait_s)
        return None
