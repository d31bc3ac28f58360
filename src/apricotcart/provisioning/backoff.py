"""Exponential back-off between attempts, by key."""

from __future__ import annotations

import math
import random
from collections.abc import Hashable

_MIN_JITTER_FACTOR = 0.5
# Bounds the exponent. The delay reaches its limit after far fewer failures.
_MAX_DOUBLINGS = 30


class KeyedBackoff:
    """Exponential back-off with jitter for each key.

    Each failure doubles the delay up to a limit. The actual delay is drawn
    between half of that and all of it, so that attempts spread out.

    Parameters
    ----------
    first_s, limit_s : float
        First and longest delay, in seconds.
    rng : random.Random
        Source of the jitter.
    """

    __slots__ = ('_failures', '_first_s', '_limit_s', '_rng', '_retry_at')

    def __init__(
        self,
        first_s: float,
        limit_s: float,
        rng: random.Random,
    ) -> None:
        self._first_s = first_s
        self._limit_s = limit_s
        self._rng = rng
        self._failures: dict[Hashable, int] = {}
        self._retry_at: dict[Hashable, float] = {}

    def record_failure(self, now: float, key: Hashable) -> float:
        """Record a failure and return the time of the next attempt."""
        failures = self._failures.get(key, 0)
        self._failures[key] = min(failures + 1, _MAX_DOUBLINGS)
        delay_s = min(math.ldexp(self._first_s, failures), self._limit_s)
        retry_at = now + delay_s * self._rng.uniform(_MIN_JITTER_FACTOR, 1)
        self._retry_at[key] = retry_at
        return retry_at

    def record_success(self, key: Hashable) -> None:
        """Reset the back-off of a key after a success."""
        self._failures.pop(key, None)
        self._retry_at.pop(key, None)

    def is_backing_off(self, now: float, key: Hashable) -> bool:
        """Return whether attempts for a key must still wait."""
        return now < self._retry_at.get(key, now)

    def clear(self) -> None:
        """Reset the back-off of all keys."""
        self._failures.clear()
        self._retry_at.clear()
