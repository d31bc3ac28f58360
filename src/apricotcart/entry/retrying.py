"""Whether a failed request is tried again."""

from __future__ import annotations

import threading
import time

from apricotcart.entry.attempt import Job
from apricotcart.errors.tree import ApricotcartError

MAX_ATTEMPTS = 3
# Retries are at most this part of recent requests, so that failing
# endpoints do not multiply the load on the others.
RETRY_RATIO = 0.2
# A host with little traffic may still retry a few requests.
MIN_RETRIES = 10
_PAUSE_S = 0.05


class RetryGate:
    """Allows retries within a budget and the request's deadline."""

    __slots__ = ('_balance', '_lock')

    def __init__(self) -> None:
        """Start with the smallest budget."""
        self._balance: float = MIN_RETRIES
        self._lock = threading.Lock()

    def on_request(self) -> None:
        """Earn budget for a first attempt."""
        with self._lock:
            self._balance = min(self._balance + RETRY_RATIO, MIN_RETRIES * 10)

    def require(self, job: Job, failure: ApricotcartError) -> None:
        """Allow one more attempt, or raise the failure.

        Raises
        ------
        ApricotcartError
            The failure, if the request may not be tried again.
        """
        if len(job.excluded) >= MAX_ATTEMPTS or not self._spend():
            raise failure
        if job.left_s() > _PAUSE_S:
            time.sleep(_PAUSE_S)

    def _spend(self) -> bool:
        with self._lock:
            if self._balance < 1:
                return False
            self._balance -= 1
            return True
