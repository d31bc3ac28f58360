"""How often the recent requests of all hosts to an endpoint failed."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

# Outcomes count for one to two of these periods.
_PERIOD_S: Final = 5.0
# Successes that are assumed before anything is known, so that a single
# failure does not count as much as a series of them.
_PRIOR_SUCCESSES: Final = 4


class OutcomeCounts:
    """Number of requests that succeeded and that failed."""

    __slots__ = ('failures', 'successes')

    def __init__(self, successes: int = 0, failures: int = 0) -> None:
        self.successes = successes
        self.failures = failures

    def __add__(self, other: OutcomeCounts) -> OutcomeCounts:
        """Return the sums of both."""
        return OutcomeCounts(
            self.successes + other.successes, self.failures + other.failures
        )

    @property
    def is_empty(self) -> bool:
        """Whether no request is counted."""
        return not (self.successes or self.failures)

    @property
    def failure_ratio(self) -> float:
        """Estimated ratio of requests that fail, from 0 to below 1."""
        total = self.successes + self.failures
        return self.failures / (total + _PRIOR_SUCCESSES)

    def to_wire(self) -> Sequence[int]:
        """Return the numbers of successes and of failures."""
        return [self.successes, self.failures]


class RecentOutcomes:
    """Outcomes of the requests to one endpoint in the last seconds.

    Attributes
    ----------
    remote : OutcomeCounts
        Outcomes of the requests of the other hosts.
    """

    __slots__ = ('_current', '_period', '_previous', 'remote')

    def __init__(self) -> None:
        self.remote = OutcomeCounts()
        self._period = 0
        self._current = OutcomeCounts()
        self._previous = OutcomeCounts()

    def add(self, now: float, *, is_success: bool) -> None:
        """Count an outcome of this host at a time in seconds."""
        self._advance(now)
        if is_success:
            self._current.successes += 1
        else:
            self._current.failures += 1

    def local(self, now: float) -> OutcomeCounts:
        """Return this host's outcomes of the current and the last period."""
        self._advance(now)
        return self._current + self._previous

    def forget_failures(self) -> None:
        """Forget the failures of this host, but not its successes."""
        self._current.failures = 0
        self._previous.failures = 0

    def failure_ratio(self, now: float) -> float:
        """Return the ratio of requests of all hosts that failed."""
        return (self.local(now) + self.remote).failure_ratio

    def _advance(self, now: float) -> None:
        period = int(now / _PERIOD_S)
        if period == self._period:
            return
        is_next = period == self._period + 1
        self._previous = self._current if is_next else OutcomeCounts()
        self._current = OutcomeCounts()
        self._period = period
