"""Decisions on whether and when a failed request is retried."""

from __future__ import annotations

import random
import time
from typing import Any

from apricotcart.entry.dispatcher import Dispatcher
from apricotcart.entry.errors import CallerGoneError
from apricotcart.entry.request_context import RequestContext
from apricotcart.errors.tree import NOT_RUN, ApricotcartError
from apricotcart.observability.catalogue import RETRIES
from apricotcart.retries.policy import (
    FailedAttempt,
    RetryDecision,
    RetryPolicy,
)
from apricotcart.scheduling.scheduler import Scheduler


class RetryGate:
    """Queries the retry policy under the scheduler's lock.

    Parameters
    ----------
    dispatcher : Dispatcher
        Holds the lock of the scheduler, whose table of suspects the policy
        uses.
    rng : random.Random
        Source of the back-off jitter.
    """

    __slots__ = ('_dispatcher', '_policy')

    def __init__(self, dispatcher: Dispatcher, rng: random.Random) -> None:
        self._dispatcher = dispatcher
        self._policy: RetryPolicy = dispatcher.notify(
            lambda scheduler, now: RetryPolicy.from_rng(
                rng,
                scheduler.suspects,
            ),
        )

    def on_request(self) -> None:
        """Count a first attempt for the retry budget."""
        self._dispatcher.notify(self._count_request)

    def wait_for_retry(
        self, context: RequestContext, failure: ApricotcartError
    ) -> None:
        """Wait until the request may be retried, or raise the failure.

        May be called for idempotent requests only.

        Raises
        ------
        ApricotcartError
            The failure, if the request may not be retried.
        KeyWithdrawnError, CallerGoneError
            If the key was withdrawn or the caller disconnected during the
            wait.
        """
        decision = self._decide(context, failure)
        if decision.req is None:
            context.hop.fields['reason'] = decision.reason
            raise failure
        context.runtime.telemetry.metrics.count(
            RETRIES, {'reason': failure.code}
        )
        time.sleep(max(0, decision.retry_at - time.monotonic()))
        context.check_key()
        if context.req.is_disconnected():
            raise CallerGoneError('the caller closed its connection')

    def _count_request(self, scheduler: Scheduler, now: float) -> None:
        self._policy.on_request(now)

    def _decide(self, context: RequestContext, failure: Any) -> RetryDecision:
        attempt = FailedAttempt(
            req=context.queued or context.describe(),
            endpoint=context.endpoint,
            outcome=failure.outcome,
            number=context.attempts,
            deadline_at=context.deadline_at,
            idempotent=True,
            bytes_left=failure.run_state != NOT_RUN,
        )
        decision: RetryDecision = self._dispatcher.notify(
            lambda scheduler, now: self._policy.decide(now, attempt),
        )
        return decision
