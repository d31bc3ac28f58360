"""Adaptive concurrency limit of one endpoint on one host."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Factors on the limit after a failure, a refusal and a slow response.
FAILED_FACTOR = 0.7
REFUSED_FACTOR = 0.8
SLOW_FACTOR = 0.9
# A response is slow if its time to first byte exceeds the baseline by this
# factor.
SLOW_RATIO = 3.0
# Smaller latency differences are network noise.
SLOW_FLOOR_S = 0.05
_BASELINE_GAIN = 0.05
# Consecutive failures after which the endpoint gets no requests for a while.
FAILURES_TO_CLOSE = 3
CLOSED_MIN_S = 0.5
CLOSED_MAX_S = 20.0
_JITTER_RATIO = 0.25
# Crashes within about a minute after which the endpoint itself is the probable
# cause, rather than the requests that ran on it.
CRASHES_UNRELIABLE = 2.5
CRASH_MEMORY_S = 60.0
_MAX_DOUBLINGS = 6


class CrashCounter:
    """Number of recent crashes, with exponential decay.

    A success does not reset it, since short requests succeed even on an
    endpoint that crashes every few seconds.
    """

    __slots__ = ('count', '_counted_at')

    def __init__(self) -> None:
        self.count: float = 0
        self._counted_at: float = 0

    def add(self, now: float) -> None:
        """Add a crash."""
        age_s = now - self._counted_at
        self.count *= math.exp(-age_s / CRASH_MEMORY_S)
        self.count += 1
        self._counted_at = now


class AdaptiveLimit:
    """Ratio of an endpoint's slots that this host may use.

    ``health`` is between 0 and 1. It is multiplied by a factor below 1 on
    failures and slow responses and grows by half a slot with each success, so
    that the load on a recovering endpoint increases gradually from one
    request.
    """

    __slots__ = (
        'health',
        'closed_until',
        'failures',
        'baseline_s',
        '_crash_counter',
        '_rng',
    )

    def __init__(self, rng: random.Random) -> None:
        self.health = 1.0
        self.closed_until: float = 0
        self.failures = 0
        self.baseline_s: float = 0
        self._crash_counter = CrashCounter()
        self._rng = rng

    def allowed(self, now: float, slots: int) -> int:
        """Return the number of requests that may run concurrently."""
        if slots <= 0 or now < self.closed_until:
            return 0
        return max(1, round(slots * self.health))

    def on_first_byte(self, latency_s: float) -> None:
        """Compare the time to first byte with the baseline and update both."""
        if not self.baseline_s:
            self.baseline_s = latency_s
        slow_threshold_s = SLOW_RATIO * self.baseline_s + SLOW_FLOOR_S
        if latency_s > slow_threshold_s:
            self.health *= SLOW_FACTOR
        # The baseline adapts quickly to shorter latencies, slowly to longer
        # ones.
        gain = _BASELINE_GAIN if latency_s > self.baseline_s else 0.5
        self.baseline_s += gain * (latency_s - self.baseline_s)

    def on_success(self, slots: int) -> None:
        """Increase the limit by half a slot."""
        self.failures = 0
        grown = self.health + 0.5 / max(1, slots)
        self.health = min(1, grown)

    def on_refused(self) -> None:
        """Decrease the limit after the endpoint refused a request as busy."""
        self.health *= REFUSED_FACTOR

    def on_failed(self, now: float) -> None:
        """Decrease the limit after a failure; close after several in a row."""
        self.failures += 1
        self.health *= FAILED_FACTOR
        if self.failures >= FAILURES_TO_CLOSE:
            self._close(now, self.failures - FAILURES_TO_CLOSE)

    def on_crashed(self, now: float) -> None:
        """Close immediately after a broken connection.

        All requests that fail because of one crash count as one.
        """
        if now < self.closed_until:
            return
        self._crash_counter.add(now)
        self._close(now, int(self._crash_counter.count))

    def is_unreliable(self) -> bool:
        """Return whether crashes are probably caused by the endpoint."""
        return self._crash_counter.count >= CRASHES_UNRELIABLE

    def _close(self, now: float, exponent: int) -> None:
        self.health = 0
        closed_s = CLOSED_MIN_S * 2 ** min(exponent, _MAX_DOUBLINGS)
        jitter = self._rng.uniform(1 - _JITTER_RATIO, 1 + _JITTER_RATIO)
        self.closed_until = now + min(closed_s, CLOSED_MAX_S) * jitter
