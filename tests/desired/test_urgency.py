"""Guards against requests that are served in the wrong order."""

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
_SHORT = _route('/t/', 1, 0.3)
_LONG = _route('/s/', 2, 0.8)


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
    urgencies: list[Urgency] = [
        table.urgency(route, customer, 'lm') for route in (_CHAT, _SHORT, _LONG)
    ]
    return [urgency.levels_above for urgency in urgencies]


def test_routes_of_one_customer_keep_their_order() -> None:
    """Guards against short requests that wait behind long ones.

    Seen on csft-sealdesk-grown, quiet-1: engines preempted short requests
    for long ones of customers with the same priority.
    """
    table = _table(_CHAT, _SHORT, _LONG, customers=[_GUILD, _COURT])
    assert _places(table, _COURT) == [0, 1, 2]
    assert _places(table, _GUILD) == [3, 4, 5]


def test_customer_priority_precedes_route_priority() -> None:
    table = _table(_CHAT, _SHORT, _LONG, customers=[_GUILD, _COURT])
    court = table.urgency(_LONG, _COURT, 'lm')
    guild = table.urgency(_CHAT, _GUILD, 'lm')
    assert court.levels_above < guild.levels_above
    assert court.level > guild.level


def test_routes_determine_order_without_customers() -> None:
    table = _table(_CHAT, _SHORT, _LONG)
    assert _places(table, None) == [0, 1, 2]
    assert table.urgency(_LONG, None, 'lm').level == 0


def test_routes_of_other_services_are_ignored() -> None:
    """Guards against counting levels that the service does not have."""
    other = _route('/o/', 7, None, 'app')
    table = _table(_CHAT, _LONG, other)
    assert table.urgency(_LONG, None, 'lm').level == 0


def test_lowest_latency_target_is_tight_only_if_targets_differ() -> None:
    both = _table(_CHAT, _LONG)
    assert both.urgency(_CHAT, None, 'lm').is_latency_critical
    assert not both.urgency(_LONG, None, 'lm').is_latency_critical
    assert not _table(_CHAT).urgency(_CHAT, None, 'lm').is_latency_critical
