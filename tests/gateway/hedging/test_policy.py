"""Guards against second attempts without need, and beyond their limit."""

from __future__ import annotations

import math

import pytest

from apricotcart.coordinator.answer_times import AnswerTimesStore
from apricotcart.coordinator.exchange_messages import GatewayFigures
from apricotcart.coordinator.shared_figures import FigureStores
from apricotcart.desired.records import Route, RouteKind, Split
from apricotcart.gateway.hedging.figures import HedgeFigures
from apricotcart.gateway.hedging.policy import (
    HedgePolicy,
    HedgeSettings,
    kind_of,
)
from apricotcart.gateway.shared_figures import FigureExchange


def _route(kind: RouteKind, *, endpoints: int = 2, **fields: bool) -> Route:
    return Route(
        name='r',
        host='h',
        prefix='/',
        kind=kind,
        splits=[Split(service='s', weight=1)],
        timeout_s=10,
        target_s=1,
        max_endpoints=endpoints,
        **fields,
    )


def _policy(share: float = 0.02) -> HedgePolicy:
    return HedgePolicy(HedgeSettings(share=share))


def _answer(policy: HedgePolicy, times: int, elapsed_s: float) -> None:
    for _ in range(times):
        policy.on_answer(0, 'k', elapsed_s)


@pytest.mark.parametrize(
    ('route', 'is_allowed'),
    [
        (_route(RouteKind.IDEMPOTENT), True),
        (_route(RouteKind.STREAM, resumable=True), True),
        (_route(RouteKind.STREAM), False),
        (_route(RouteKind.ONCE), False),
        (_route(RouteKind.IDEMPOTENT, endpoints=1), False),
    ],
)
def test_only_requests_that_may_run_twice(
    route: Route, is_allowed: bool
) -> None:
    assert _policy().allows(route) is is_allowed
    assert not _policy(0).allows(route)
    other = HedgeSettings(share=0.1, routes=['other'])
    assert not other.allows(route)


def test_late_is_later_than_nearly_all_of_the_kind() -> None:
    policy = _policy()
    _answer(policy, 19, 0.1)
    assert policy.delay_s('k', 10, 0) == math.inf
    _answer(policy, 77, 0.1)
    _answer(policy, 4, 2)
    assert policy.delay_s('k', 10, 0) == pytest.approx(0.1, rel=0.2)
    # The second attempt would end after the deadline.
    assert policy.delay_s('k', 0.15, 0) == math.inf
    assert policy.delay_s('other', 10, 0) == math.inf


def test_while_all_are_slow_slow_is_usual() -> None:
    policy = _policy()
    _answer(policy, 100, 0.1)
    for _ in range(100):
        policy.on_answer(40, 'k', 1.0)
    assert policy.delay_s('k', 10, 40) == pytest.approx(1, rel=0.2)


def test_second_attempts_stay_within_their_share() -> None:
    policy = _policy(0.02)
    made = 0
    for _ in range(5000):
        policy.on_request()
        if policy.has_room:
            policy.on_second_attempt()
            made += 1
    assert made == pytest.approx(100, abs=1)


def test_calm_saves_up_only_a_few() -> None:
    policy = _policy(0.5)
    for _ in range(5000):
        policy.on_request()
    made = 0
    while policy.has_room:
        policy.on_second_attempt()
        made += 1
    assert made == 3


def test_sizes_are_kinds_of_their_own() -> None:
    route = _route(RouteKind.IDEMPOTENT)
    assert kind_of(route, 100) == kind_of(route, 400)
    assert kind_of(route, 100) != kind_of(route, 20_000)


def test_hosts_learn_from_each_other_what_is_late() -> None:
    stores = FigureStores([AnswerTimesStore()])
    busy = _policy()
    idle = _policy()
    _answer(busy, 99, 0.1)
    _answer(idle, 1, 0.1)
    exchanges = [FigureExchange([HedgeFigures(each)]) for each in (busy, idle)]
    for exchange in exchanges:
        exchange.on_leader(is_understood=True)
    for name, exchange in zip(('busy', 'idle'), exchanges, strict=True):
        exchange.apply(stores.exchange(name, exchange.request(0), 0), 0)
    assert idle.delay_s('k', 10, 0) < math.inf


def test_reports_of_hosts_that_ended_are_forgotten() -> None:
    stores = FigureStores([AnswerTimesStore()])
    figures = GatewayFigures(answer_times={'k': {3: 50.0}})
    stores.exchange('old', figures.to_wire(), 0)
    figures.answer_times = {'k': {5: 1.0}}
    shared = stores.exchange('new', figures.to_wire(), 11)
    assert shared is not None
    assert shared['answer_times'] == {'k': {5: 1.0}}
