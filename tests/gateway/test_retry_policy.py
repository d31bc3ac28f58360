"""Guards against retries that run a request twice or multiply load."""

from __future__ import annotations

from apricotcart.desired.records import Route, RouteKind, Split
from apricotcart.gateway.retry_policy import MAX_SENDS, RetryPolicy

_RATIO = 0.2
_EXTRA = 52
_WINDOW_S = 10
_HOSTS = 6


def _route(kind: RouteKind, *, resumable: bool = False) -> Route:
    return Route(
        name='r',
        host='h',
        prefix='/',
        kind=kind,
        splits=[Split(service='lm', weight=1)],
        timeout_s=3,
        target_s=1,
        max_endpoints=2,
        resumable=resumable,
    )


def _may_retry(
    policy: RetryPolicy,
    route: Route,
    *,
    may_have_run: bool,
    send_count: int = 1,
    now: float = 0,
) -> bool:
    return policy.may_retry(
        route,
        may_have_run=may_have_run,
        send_count=send_count,
        remaining_s=1,
        now=now,
    )


def test_once_request_is_retried_only_if_not_run() -> None:
    policy = RetryPolicy(_RATIO, _EXTRA)
    once = _route(RouteKind.ONCE)
    assert _may_retry(policy, once, may_have_run=False)
    assert not _may_retry(policy, once, may_have_run=True)
    assert not _may_retry(policy, _route(RouteKind.STREAM), may_have_run=True)


def test_idempotent_request_is_retried_up_to_its_limit() -> None:
    policy = RetryPolicy(_RATIO, _EXTRA)
    idempotent = _route(RouteKind.IDEMPOTENT)
    assert _may_retry(policy, idempotent, may_have_run=True)
    assert not _may_retry(policy, idempotent, may_have_run=True, send_count=2)
    assert not _may_retry(
        policy, idempotent, may_have_run=False, send_count=MAX_SENDS
    )


def test_retries_of_all_hosts_stay_within_the_shared_budget() -> None:
    """Guards against retries that multiply the load when all endpoints fail.

    Every request fails at every endpoint for half a minute.
    """
    policies = [RetryPolicy(_RATIO, _EXTRA) for _ in range(_HOSTS)]
    for policy in policies:
        policy.set_host_count(_HOSTS)
    route = _route(RouteKind.IDEMPOTENT)
    requests: list[float] = []
    retries: list[float] = []
    for step in range(3000):
        now = step / 100
        policy = policies[step % _HOSTS]
        policy.on_request('lm', now)
        requests.append(now)
        if _may_retry(policy, route, may_have_run=True, now=now):
            retries.append(now)
    for start in range(21):
        end = start + _WINDOW_S
        requests_in_window = sum(start <= at < end for at in requests)
        retries_in_window = sum(start <= at < end for at in retries)
        assert retries_in_window <= _RATIO * requests_in_window + _EXTRA
