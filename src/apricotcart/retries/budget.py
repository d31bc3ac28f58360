"""A budget that bounds retries to a fraction of recent requests."""

from __future__ import annotations

import math

RETRY_RATIO = 0.1
# Time constant of the decay of both counts.
WINDOW_S = 10.0
# Retries that a host with little traffic may always make in a window. A crash
# interrupts up to a whole batch of requests; with 3, some were not retried.
MIN_RETRIES = 10.0


class RetryBudget:
    """Counts requests and retries with exponential decay.

    Even when most requests fail, retries are limited to the fraction
    ``ratio`` of the requests, so that they do not multiply the load of a
    failing endpoint.

    Parameters
    ----------
    ratio : float
        Retries allowed for each recent request.
    min_retries : float
        Retries that are always allowed within ``WINDOW_S``.
    """

    __slots__ = (
        '_decayed_at',
        '_ratio',
        '_requests',
        '_retries',
        'min_retries',
    )

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        min_retries: float = MIN_RETRIES,
    ) -> None:
        self._ratio = ratio
        self.min_retries = min_retries
        self._requests: float = 0
        self._retries: float = 0
        self._decayed_at: float = 0

    def on_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._decay(now)
        self._requests += 1

    def try_acquire(self, now: float) -> bool:
        """Count a retry and return True if the budget allows it."""
        self._decay(now)
        allowed = self.min_retries + self._ratio * self._requests
        if self._retries + 1 > allowed:
            return False
        self._retries += 1
        return True

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0, self._decayed_at - now) / WINDOW_S)
        self._requests *= factor
        self._retries *= factor
        self._decayed_at = max(now, self._decayed_at)
