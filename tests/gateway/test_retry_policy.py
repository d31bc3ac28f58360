"""Guards against repeats that run twice or multiply the load."""

from __future__ import annotations

from apricotcart.desired.records import Route, RouteKind, Split
from apricotcart.gateway.retry_policy import MAX_SENDS, RepeatPolicy

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


def _may(
    policy: RepeatPolicy,
    route: Route,
    *,
    has_run: bool,
    sends: int = 1,
    now: float = 0,
) -> bool:
    return policy.may_repeat(
        route,
        has_run=has_run,
        sends=sends,
        left_s=1,
        now=now,
    )


def test_repeat_once_request_only_if_not_run() -> None:
    policy = RepeatPolicy(_RATIO, _EXTRA)
    once = _route(RouteKind.ONCE)
    assert _may(policy, once, has_run=False)
    assert not _may(policy, once, has_run=True)
    assert not _may(policy, _route(RouteKind.STREAM), has_run=True)


def test_repeat_idempotent_up_to_its_endpoints() -> None:
    policy = RepeatPolicy(_RATIO, _EXTRA)
    safe = _route(RouteKind.IDEMPOTENT)
    assert _may(policy, safe, has_run=True)
    assert not _may(policy, safe, has_run=True, sends=2)
    assert not _may(policy, safe, has_run=False, sends=MAX_SENDS)


def test_repeats_of_all_hosts_stay_in_the_common_budget() -> None:
    """Every request fails everywhere for half a minute."""
    policies = [RepeatPolicy(_RATIO, _EXTRA) for _ in range(_HOSTS)]
    for policy in policies:
        policy.share_among(_HOSTS)
    route = _route(RouteKind.IDEMPOTENT)
    requests: list[float] = []
    repeats: list[float] = []
    for step in range(3000):
        now = step / 100
        policy = policies[step % _HOSTS]
        policy.on_request('lm', now)
        requests.append(now)
        if _may(policy, route, has_run=True, now=now):
            repeats.append(now)
    for start in range(21):
        end = start + _WINDOW_S
        asked = sum(start <= at < end for at in requests)
        again = sum(start <= at < end for at in repeats)
        assert again <= _RATIO * asked + _EXTRA
