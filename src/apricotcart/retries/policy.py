"""Decides whether and when a failed attempt is retried."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import TYPE_CHECKING, Self

from apricotcart.codec.record import Record
from apricotcart.endpoints import outcomes
from apricotcart.retries.backoff import Backoff
from apricotcart.retries.budget import RetryBudget
from apricotcart.scheduling.records import QueuedRequest

if TYPE_CHECKING:
    from apricotcart.endpoints.suspects import SuspectTable

MAX_ATTEMPTS = 4

REASON_NOT_IDEMPOTENT = 'not_idempotent'
REASON_OUTCOME = 'outcome'
REASON_ATTEMPTS = 'attempts'
REASON_QUARANTINED = 'quarantined'
REASON_DEADLINE = 'deadline'
REASON_BUDGET = 'budget'

_RETRIABLE = frozenset(
    (
        outcomes.FAILED,
        outcomes.REFUSED,
        outcomes.CRASHED,
        outcomes.UNREACHABLE,
    )
)


class FailedAttempt(Record):
    """An attempt that ended without a complete answer.

    Parameters
    ----------
    req : QueuedRequest
        The request as it was submitted.
    endpoint : str
        Endpoint that the attempt was sent to.
    outcome : str
        Constant of ``endpoints.outcomes``.
    number : int
        Attempts made so far, from 1.
    deadline_at : float
        Deadline of the whole request in monotonic seconds, set by the first
        attempt.
    idempotent : bool
        Whether the request may safely run more than once.
    bytes_left : bool
        Whether this host may have sent any byte to the endpoint.
    """

    __slots__ = (
        'req',
        'endpoint',
        'outcome',
        'number',
        'deadline_at',
        'idempotent',
        'bytes_left',
    )

    def __init__(
        self,
        *,
        req: QueuedRequest,
        endpoint: str,
        outcome: str,
        number: int,
        deadline_at: float,
        idempotent: bool,
        bytes_left: bool = True,
    ) -> None:
        self.req = req
        self.endpoint = endpoint
        self.outcome = outcome
        self.number = number
        self.deadline_at = deadline_at
        self.idempotent = idempotent
        self.bytes_left = bytes_left


class RetryDecision:
    """The request to submit at ``retry_at``, or the reason for no retry."""

    __slots__ = ('req', 'retry_at', 'reason')

    def __init__(
        self, req: QueuedRequest | None, retry_at: float, reason: str
    ) -> None:
        self.req = req
        self.retry_at = retry_at
        self.reason = reason


class RetryPolicy:
    """Retries idempotent requests, and others of which no byte was sent."""

    __slots__ = ('budget', '_backoff', '_suspects')

    def __init__(
        self, budget: RetryBudget, backoff: Backoff, suspects: SuspectTable
    ) -> None:
        self.budget = budget
        self._backoff = backoff
        self._suspects = suspects

    @classmethod
    def from_rng(cls, rng: random.Random, suspects: SuspectTable) -> Self:
        """Return a policy with the default bounds."""
        return cls(RetryBudget(), Backoff(rng), suspects)

    def on_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self.budget.on_request(now)

    def decide(self, now: float, attempt: FailedAttempt) -> RetryDecision:
        """Decide whether to retry a failed attempt.

        The new request keeps the identity, class, customer and deadline, and
        excludes the endpoint that failed.
        """
        retry_at = now + self._backoff.delay_s(attempt.number)
        reason = self._refusal_reason(now, retry_at, attempt)
        if reason:
            return RetryDecision(None, 0, reason)
        return RetryDecision(build_retry(attempt), retry_at, '')

    def _refusal_reason(
        self, now: float, retry_at: float, attempt: FailedAttempt
    ) -> str:
        reason = _attempt_refusal_reason(attempt)
        if reason:
            return reason
        if self._suspects.is_quarantined(now, attempt.req.fingerprint):
            return REASON_QUARANTINED
        if retry_at >= attempt.deadline_at:
            return REASON_DEADLINE
        return '' if self.budget.try_acquire(now) else REASON_BUDGET


def _attempt_refusal_reason(attempt: FailedAttempt) -> str:
    if attempt.outcome not in _RETRIABLE:
        return REASON_OUTCOME
    if attempt.bytes_left and not attempt.idempotent:
        return REASON_NOT_IDEMPOTENT
    return REASON_ATTEMPTS if attempt.number >= MAX_ATTEMPTS else ''


def build_retry(attempt: FailedAttempt) -> QueuedRequest:
    """Return the request to submit after a failed attempt."""
    fields = attempt.req.to_wire()
    excluded: Iterable[str] = attempt.req.excluded_endpoints
    fields['excluded_endpoints'] = sorted({*excluded, attempt.endpoint})
    fields['deadline_at'] = attempt.deadline_at
    return QueuedRequest.from_wire(fields)
