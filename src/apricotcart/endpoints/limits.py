"""Adaptive concurrency limit of one endpoint as seen by one host."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

FAILED_FACTOR = 0.7
REFUSED_FACTOR = 0.8
SLOW_FACTOR = 0.9
# A first byte is slow if it takes this many times the usual latency.
SLOW_RATIO = 3.0
# Latency differences below this are noise of the network, in seconds.
SLOW_FLOOR_S = 0.05
_BASELINE_GAIN = 0.05
# Failures in a row after which the endpoint counts as down.
FAILURES_TO_CLOSE = 3
CLOSED_MIN_S = 0.5
CLOSED_MAX_S = 20.0
_JITTER = 0.25
# After this many crashes within about a minute the endpoint itself is the
# probable cause, not the requests that ran on it.
CRASHES_UNRELIABLE = 2.5
CRASH_MEMORY_S = 60.0
_DOUBLINGS = 6


class Crashes:
    """A count of crashes that decays with time.

    A success between two crashes does not reset it: short requests succeed
    on an endpoint that crashes every few seconds.
    """

    __slots__ = ('count', '_counted_at')

    def __init__(self) -> None:
        """Start with none."""
        self.count: float = 0
        self._counted_at: float = 0

    def add(self, now: float) -> None:
        """Count a crash."""
        age_s = now - self._counted_at
        self.count *= math.exp(-age_s / CRASH_MEMORY_S)
        self.count += 1
        self._counted_at = now


class AdaptiveLimit:
    """The part of an endpoint's slots that this host uses now.

    ``health`` is between 0 and 1. It falls by a factor on failure or slow
    responses and grows by half a slot with each success, so that an endpoint
    that recovers gets its load back gradually, starting with one request.
    """

    __slots__ = (
        'health',
        'closed_until',
        'failures',
        'baseline_s',
        '_crashes',
        '_rng',
    )

    def __init__(self, rng: random.Random) -> None:
        """Start healthy."""
        self.health = 1.0
        self.closed_until: float = 0
        self.failures = 0
        self.baseline_s: float = 0
        self._crashes = Crashes()
        self._rng = rng

    def allowed(self, now: float, slots: int) -> int:
        """Give the number of requests that may run at the same time."""
        if slots <= 0 or now < self.closed_until:
            return 0
        return max(1, round(slots * self.health))

    def on_first_byte(self, latency_s: float) -> None:
        """Compare the latency with the usual one."""
        if not self.baseline_s:
            self.baseline_s = latency_s
        bound = SLOW_RATIO * self.baseline_s + SLOW_FLOOR_S
        if latency_s > bound:
            self.health *= SLOW_FACTOR
        # The baseline follows shorter latencies at once, longer ones slowly.
        gain = _BASELINE_GAIN if latency_s > self.baseline_s else 0.5
        self.baseline_s += gain * (latency_s - self.baseline_s)

    def on_success(self, slots: int) -> None:
        """Grow by half a slot."""
        self.failures = 0
        grown = self.health + 0.5 / max(1, slots)
        self.health = min(1, grown)

    def on_refused(self) -> None:
        """Shrink after the endpoint refused a request for its load."""
        self.health *= REFUSED_FACTOR

    def on_failed(self, now: float) -> None:
        """Shrink after a failure; close after several in a row."""
        self.failures += 1
        self.health *= FAILED_FACTOR
        if self.failures >= FAILURES_TO_CLOSE:
            self._close(now, self.failures - FAILURES_TO_CLOSE)

    def on_crashed(self, now: float) -> None:
        """Close at once after a broken connection.

        The requests that one crash breaks count as one failure.
        """
        if now < self.closed_until:
            return
        self._crashes.add(now)
        self._close(now, int(self._crashes.count))

    def is_unreliable(self) -> bool:
        """Tell whether the endpoint crashed too often to blame a request."""
        return self._crashes.count >= CRASHES_UNRELIABLE

    def _close(self, now: float, exponent: int) -> None:
        self.health = 0
        period = CLOSED_MIN_S * 2 ** min(exponent, _DOUBLINGS)
        jitter = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        self.closed_until = now + min(period, CLOSED_MAX_S) * jitter
