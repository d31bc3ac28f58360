"""Whether and when a failed request is tried again."""

from __future__ import annotations

import random
import time
from typing import Any

from apricotcart.entry.attempt import Job
from apricotcart.entry.dispatcher import Dispatcher
from apricotcart.entry.errors import CallerGoneError
from apricotcart.errors.tree import NOT_RUN, ApricotcartError
from apricotcart.observability.catalogue import RETRIES
from apricotcart.retries.policy import (
    FailedAttempt,
    RetryPolicy,
    RetryVerdict,
)
from apricotcart.scheduling.scheduler import Scheduler


class RetryGate:
    """Asks the retry policy under the scheduler's lock.

    Parameters
    ----------
    dispatcher : Dispatcher
        Guards the scheduler's table of suspects.
    rng : random.Random
        Jitter of the back-off.
    """

    __slots__ = ('_dispatcher', '_policy')

    def __init__(self, dispatcher: Dispatcher, rng: random.Random) -> None:
        """Build the policy."""
        self._dispatcher = dispatcher
        self._policy: RetryPolicy = dispatcher.notify(
            lambda scheduler, now: RetryPolicy.from_rng(
                rng,
                scheduler.suspects,
            ),
        )

    def on_request(self) -> None:
        """Count a first attempt."""
        self._dispatcher.notify(self._count)

    def require(self, job: Job, failure: ApricotcartError) -> None:
        """Wait until one more attempt may start, or raise the failure.

        Only idempotent work comes here.

        Raises
        ------
        ApricotcartError
            The failure, if the request may not be tried again.
        KeyWithdrawnError, CallerGoneError
            If the key was withdrawn or the caller left during the wait.
        """
        verdict = self._decide(job, failure)
        if verdict.req is None:
            job.hop.fields['reason'] = verdict.reason
            raise failure
        job.runtime.telemetry.metrics.count(RETRIES, {'reason': failure.code})
        time.sleep(max(0, verdict.retry_at - time.monotonic()))
        job.check_key()
        if job.req.is_disconnected():
            raise CallerGoneError('the caller closed its connection')

    def _count(self, scheduler: Scheduler, now: float) -> None:
        self._policy.on_request(now)

    def _decide(self, job: Job, failure: Any) -> RetryVerdict:
        attempt = FailedAttempt(
            req=job.queued or job.describe(),
            endpoint=job.endpoint,
            outcome=failure.outcome,
            number=job.attempts,
            deadline_at=job.deadline_at,
            idempotent=True,
            bytes_left=failure.run_state != NOT_RUN,
        )
        verdict: RetryVerdict = self._dispatcher.notify(
            lambda scheduler, now: self._policy.decide(now, attempt),
        )
        return verdict
