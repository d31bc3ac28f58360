"""Guards against requests that are served in a wrong order."""

from __future__ import annotations

from apricotcart.desired.records import (
    CallerLimits,
    Customer,
    DesiredState,
    Route,
    RouteKind,
    Split,
)
from apricotcart.desired.urgency import Urgency, UrgencyTable

_GUILD = Customer(name='guild', keys=['k1'], priority=1)
_COURT = Customer(name='court', keys=['k2'], priority=0)


def _route(
    prefix: str,
    priority: int = 0,
    pause_s: float | None = None,
    service: str = 'lm',
) -> Route:
    return Route(
        name=f'r{prefix}',
        host='a.example',
        prefix=prefix,
        kind=RouteKind.STREAM,
        splits=[Split(service=service, weight=1)],
        timeout_s=3,
        target_s=1,
        pause_s=pause_s,
        priority=priority,
    )


_CHAT = _route('/c/', 0, 0.2)
_TAG = _route('/t/', 1, 0.3)
_SURVEY = _route('/s/', 2, 0.8)


def _table(
    *routes: Route,
    customers: list[Customer] | None = None,
) -> UrgencyTable:
    return UrgencyTable(
        DesiredState(
            version=1,
            routes=routes,
            services=[],
            limits=CallerLimits(
                header_bytes=1,
                body_bytes=1,
                header_timeout_s=1,
                idle_timeout_s=1,
            ),
            customers=customers,
        ),
    )


def _places(table: UrgencyTable, customer: Customer | None) -> list[int]:
    found: list[Urgency] = [
        table.urgency(route, customer, 'lm') for route in (_CHAT, _TAG, _SURVEY)
    ]
    return [each.place for each in found]


def test_routes_of_one_customer_keep_their_order() -> None:
    """Guards against short requests that wait behind long ones.

    Seen on csft-sealdesk-grown, quiet-1: engines preempted short requests
    for long ones of customers with the same priority.
    """
    table = _table(_CHAT, _TAG, _SURVEY, customers=[_GUILD, _COURT])
    assert _places(table, _COURT) == [0, 1, 2]
    assert _places(table, _GUILD) == [3, 4, 5]


def test_customer_precedes_the_route() -> None:
    table = _table(_CHAT, _TAG, _SURVEY, customers=[_GUILD, _COURT])
    court = table.urgency(_SURVEY, _COURT, 'lm')
    guild = table.urgency(_CHAT, _GUILD, 'lm')
    assert court.place < guild.place
    assert court.level > guild.level


def test_routes_rank_alone_without_customers() -> None:
    table = _table(_CHAT, _TAG, _SURVEY)
    assert _places(table, None) == [0, 1, 2]
    assert table.urgency(_SURVEY, None, 'lm').level == 0


def test_routes_of_other_services_do_not_count() -> None:
    """Guards against levels that no request of the service has."""
    other = _route('/o/', 7, None, 'app')
    table = _table(_CHAT, _SURVEY, other)
    assert table.urgency(_SURVEY, None, 'lm').level == 0


def test_tightest_pause_only_beside_longer_ones() -> None:
    both = _table(_CHAT, _SURVEY)
    assert both.urgency(_CHAT, None, 'lm').is_tight
    assert not both.urgency(_SURVEY, None, 'lm').is_tight
    assert not _table(_CHAT).urgency(_CHAT, None, 'lm').is_tight
