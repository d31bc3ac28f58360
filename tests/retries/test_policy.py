"""Tests of the retry policy, the retry budget and the back-off."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from apricotcart.endpoints.suspects import SuspectTable
from apricotcart.retries import policy as retry_policy
from apricotcart.retries.backoff import Backoff
from apricotcart.retries.budget import MIN_RETRIES, RetryBudget
from apricotcart.scheduling.records import QueuedRequest

MakeAttempt = Callable[..., retry_policy.FailedAttempt]


@pytest.fixture
def policy() -> retry_policy.RetryPolicy:
    """Return a policy with a seeded back-off."""
    return retry_policy.RetryPolicy.from_rng(random.Random(1), SuspectTable())


@pytest.fixture
def make_attempt() -> MakeAttempt:
    """Return a function that builds a failed attempt."""

    def build(**fields: Any) -> retry_policy.FailedAttempt:
        req = QueuedRequest(
            request_id='r', customer='a', class_name='high', pool='p'
        )
        chosen = {
            'req': req,
            'endpoint': 'e1',
            'outcome': 'crashed',
            'number': 1,
            'deadline_at': 60,
            'idempotent': True,
        }
        return retry_policy.FailedAttempt(**{**chosen, **fields})

    return build


def test_retry_keeps_identity(
    policy: retry_policy.RetryPolicy, make_attempt: MakeAttempt
) -> None:
    """Guards against a retry that loses class, customer or deadline."""
    decision = policy.decide(10, make_attempt())
    assert decision.req is not None
    assert decision.retry_at > 10
    assert (decision.req.customer, decision.req.class_name) == ('a', 'high')
    assert decision.req.deadline_at == 60
    assert decision.req.excluded_endpoints == ('e1',)


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({'idempotent': False}, retry_policy.REASON_NOT_IDEMPOTENT),
        ({'outcome': 'cancelled'}, retry_policy.REASON_OUTCOME),
        ({'number': 4}, retry_policy.REASON_ATTEMPTS),
        ({'deadline_at': 10.01}, retry_policy.REASON_DEADLINE),
    ],
)
def test_retry_refused(
    policy: retry_policy.RetryPolicy,
    make_attempt: MakeAttempt,
    fields: dict[str, Any],
    reason: str,
) -> None:
    """Guards against repeated side effects and retries past the deadline."""
    assert policy.decide(10, make_attempt(**fields)).reason == reason


def test_retry_order_not_sent(
    policy: retry_policy.RetryPolicy, make_attempt: MakeAttempt
) -> None:
    """Guards against giving up a non-idempotent request that never ran."""
    attempt = make_attempt(idempotent=False, bytes_left=False)
    assert policy.decide(10, attempt).req is not None


def test_retry_quarantined(make_attempt: MakeAttempt) -> None:
    """Guards against a third endpoint for a request that crashed two."""
    suspects = SuspectTable()
    suspects.on_crash(1, 'r', 'e1')
    suspects.on_crash(2, 'r', 'e2')
    policy = retry_policy.RetryPolicy.from_rng(random.Random(1), suspects)
    decision = policy.decide(10, make_attempt())
    assert decision.reason == retry_policy.REASON_QUARANTINED


def count_storm_retries(budget: RetryBudget) -> int:
    """Return the number of retries when 2,000 requests always fail."""
    retries = 0
    for number in range(2000):
        now = number / 100
        budget.on_request(now)
        # The limit of four attempts allows three retries of each request.
        retries += sum(budget.try_acquire(now) for _ in range(3))
    return retries


def test_budget_retry_storm() -> None:
    """Guards against retries that multiply the load of failing endpoints."""
    assert count_storm_retries(RetryBudget()) <= 2000 * 0.1 + 3 * MIN_RETRIES


def test_no_budget_retry_storm() -> None:
    """Shows that the storm test fails without the budget."""
    assert count_storm_retries(RetryBudget(ratio=float('inf'))) == 6000


def test_backoff_grows_and_differs() -> None:
    """Guards against simultaneous retries of failed requests."""
    backoff = Backoff(random.Random(1), base_s=1, max_s=8)
    first = {backoff.delay_s(1) for _ in range(20)}
    assert len(first) == 20
    assert min(first) >= 1
    assert max(first) <= 2
    late = [backoff.delay_s(40) for _ in range(20)]
    assert min(late) >= 4
    assert max(late) <= 8
