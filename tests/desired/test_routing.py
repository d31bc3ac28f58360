"""Guards against requests that are assigned to the wrong route."""

from __future__ import annotations

from apricotcart.desired.records import (
    CallerLimits,
    Customer,
    DesiredState,
    Route,
    RouteKind,
    Service,
    Split,
)
from apricotcart.desired.routing import RoutingTable


def _route(prefix: str) -> Route:
    return Route(
        name=f'r{prefix}',
        host='a.example',
        prefix=prefix,
        kind=RouteKind.STREAM,
        splits=[Split(service='lm', weight=1)],
        timeout_s=3,
        target_s=1,
    )


def _table(*routes: Route, keys: bool = True) -> RoutingTable:
    customers = [Customer(name='guild', keys=['k1', 'k2'])] if keys else None
    return RoutingTable(
        DesiredState(
            version=1,
            routes=routes,
            services=[Service(name='lm', health_path='/h', max_conns=None)],
            limits=CallerLimits(
                header_bytes=1,
                body_bytes=1,
                header_timeout_s=1,
                idle_timeout_s=1,
            ),
            customers=customers,
        ),
    )


def test_route_longest_prefix_wins() -> None:
    table = _table(_route('/'), _route('/a/'), _route('/a/b/'))
    found = table.route('A.example:80', '/a/b/c')
    assert found is not None and found.prefix == '/a/b/'
    shorter = table.route('a.example', '/a/bc')
    assert shorter is not None and shorter.prefix == '/a/'


def test_route_prefix_matches_whole_segments_only() -> None:
    table = _table(_route('/a/'))
    assert table.route('a.example', '/ab/c') is None
    assert table.route('a.example', '/a') is None
    assert table.route('b.example', '/a/x') is None


def test_customer_is_found_by_any_of_its_keys() -> None:
    table = _table(_route('/a/'))
    found = table.customer('k2')
    assert found is not None and found.name == 'guild'
    assert table.customer('k3') is None
    assert not _table(_route('/a/'), keys=False).needs_key
