"""Slots, priorities and inter-token latency of a continuous batch."""

from __future__ import annotations

import heapq
import threading
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_POLL_S = 0.02


class Batch:
    """Assigns slots by priority and sets the inter-token latency.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests.
    interval_s : float
        Inter-token latency of a request that runs alone, in seconds.
    slowdown : float
        Fraction of `interval_s` that each further running request adds.
    token_rate : float
        Limit on the tokens per second of the whole batch; 0: no limit.
    """

    __slots__ = (
        '_active',
        '_condition',
        '_interval_s',
        '_sequence',
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
        """Initialize a batch without requests."""
        self._slots = slots
        self._interval_s = interval_s
        self._slowdown = slowdown
        self._token_rate = token_rate
        self._active = 0
        self._waiting: list[tuple[int, int]] = []
        self._sequence = count()
        self._condition = threading.Condition()

    @property
    def active(self) -> int:
        """Requests that hold a slot."""
        return self._active

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def acquire(
        self, priority: int, is_disconnected: Callable[[], bool]
    ) -> bool:
        """Wait for a slot; lower priority values go first.

        Returns
        -------
        bool
            False if the caller closed the connection while waiting.
        """
        with self._condition:
            ticket = (priority, next(self._sequence))
            heapq.heappush(self._waiting, ticket)
            while not self._may_start(ticket):
                self._condition.wait(_POLL_S)
                if is_disconnected():
                    self._remove_waiting(ticket)
                    return False
            heapq.heappop(self._waiting)
            self._active += 1
            self._condition.notify_all()
            return True

    def release(self) -> None:
        """Free a slot."""
        with self._condition:
            self._active -= 1
            self._condition.notify_all()

    def interval_s(self) -> float:
        """Return the inter-token latency at the current batch size."""
        others = max(self._active - 1, 0)
        interval_s = self._interval_s * (1 + self._slowdown * others)
        if self._token_rate:
            return max(interval_s, self._active / self._token_rate)
        return interval_s

    def _may_start(self, ticket: tuple[int, int]) -> bool:
        return self._active < self._slots and self._waiting[0] == ticket

    def _remove_waiting(self, ticket: tuple[int, int]) -> None:
        self._waiting.remove(ticket)
        heapq.heapify(self._waiting)
        self._condition.notify_all()
