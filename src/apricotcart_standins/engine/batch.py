"""Slots, priorities and step times of a continuous batch."""

from __future__ import annotations

import heapq
import threading
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_POLL_S = 0.02


class Batch:
    """Admits requests to slots by priority and paces their tokens.

    Parameters
    ----------
    slots : int
        Requests that run at the same time.
    interval_s : float
        Time between tokens of a request that runs alone, in seconds.
    slowdown : float
        Share by which each further running request lengthens the interval.
    token_rate : float
        Tokens per second of the whole batch; 0 sets no limit.
    """

    __slots__ = (
        '_active',
        '_changed',
        '_interval_s',
        '_order',
        '_slots',
        '_slowdown',
        '_token_rate',
        '_waiting',
    )

    def __init__(
        self,
        slots: int,
        interval_s: float,
        slowdown: float,
        token_rate: float,
    ) -> None:
        """Start idle."""
        self._slots = slots
        self._interval_s = interval_s
        self._slowdown = slowdown
        self._token_rate = token_rate
        self._active = 0
        self._waiting: list[tuple[int, int]] = []
        self._order = count()
        self._changed = threading.Condition()

    @property
    def active(self) -> int:
        """Requests that hold a slot."""
        return self._active

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def acquire(self, priority: int, is_gone: Callable[[], bool]) -> bool:
        """Wait for a slot; a lower number goes first.

        Returns
        -------
        bool
            False if the caller closed the connection while waiting.
        """
        with self._changed:
            ticket = (priority, next(self._order))
            heapq.heappush(self._waiting, ticket)
            while not self._may_start(ticket):
                self._changed.wait(_POLL_S)
                if is_gone():
                    self._leave(ticket)
                    return False
            heapq.heappop(self._waiting)
            self._active += 1
            self._changed.notify_all()
            return True

    def release(self) -> None:
        """Free a slot."""
        with self._changed:
            self._active -= 1
            self._changed.notify_all()

    def interval_s(self) -> float:
        """Give the time to the next token at the present batch size."""
        others = max(self._active - 1, 0)
        interval_s = self._interval_s * (1 + self._slowdown * others)
        if self._token_rate:
            return max(interval_s, self._active / self._token_rate)
        return interval_s

    def _may_start(self, ticket: tuple[int, int]) -> bool:
        return self._active < self._slots and self._waiting[0] == ticket

    def _leave(self, ticket: tuple[int, int]) -> None:
        self._waiting.remove(ticket)
        heapq.heapify(self._waiting)
        self._changed.notify_all()
