"""Exponential back-off with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0
_MAX_DOUBLINGS = 16


class Backoff:
    """Exponential delays before retries.

    Parameters
    ----------
    rng : random.Random
        Seeded source of the jitter.
    base_s, max_s : float
        Shortest delay before the first retry and longest delay of all, in
        seconds.
    """

    __slots__ = ('_rng', '_base_s', '_max_s')

    def __init__(
        self,
        rng: random.Random,
        base_s: float = BASE_DELAY_S,
        max_s: float = MAX_DELAY_S,
    ) -> None:
        self._rng = rng
        self._base_s = base_s
        self._max_s = max_s

    def delay_s(self, attempt: int) -> float:
        """Return the delay before retry number ``attempt``, from 1.

        The delay is between half of the exponential bound and all of it, so
        that requests that failed together are not retried together.
        """
        doublings = min(attempt, _MAX_DOUBLINGS)
        bound_s = min(self._max_s, self._base_s * float(2**doublings))
        return bound_s * self._rng.uniform(0.5, 1)
