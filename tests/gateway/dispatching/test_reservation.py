"""Guards against streams without room and reserved engines that idle."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from apricotcart.coordinator.customer_loads import JoinedCustomerLoads
from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)
from apricotcart.coordinator.stream_demands import StreamDemands
from apricotcart.desired.records import Engine
from apricotcart.gateway.dispatching.reservation import Reservation

_Demands = Mapping[str, Sequence[int]]
_ENGINE = Engine(slots=16, kv_tokens=1)


def _reserved(demand: list[int], now: float = 0, engines: int = 40) -> int:
    reservation = Reservation()
    reservation.update({'lm': demand}, 0)
    return reservation.reserved_engines('lm', engines, _ENGINE, now)


def test_reserved_engines_follow_the_demand_within_bounds() -> None:
    """Streams get room before others, and neither kind loses all engines."""
    assert _reserved([0, 0]) == 10
    assert _reserved([200, 100]) > 20
    assert _reserved([100, 9000]) == 10
    assert _reserved([0, 9000]) == 1
    assert _reserved([9000, 0]) == 10
    assert _reserved([9000, 1]) == 39
    assert _reserved([9000, 9000]) == 30
    assert _reserved([9000, 1], engines=2) == 1


def test_reserved_engines_keep_the_demand_while_no_leader_answers() -> None:
    """Guards against engines that change hands at each election."""
    reservation = Reservation()
    reservation.update({'lm': [200, 100]}, 0)
    reservation.update({}, 5)
    assert reservation.reserved_engines('lm', 40, _ENGINE, 10) > 20
    assert reservation.reserved_engines('lm', 40, _ENGINE, 60) == 10


def _share(
    store: StreamDemands, name: str, demand: list[int], now: float
) -> _Demands:
    shared = SharedFigures()
    store.on_figures(name, GatewayFigures(stream_demands={'lm': demand}), now)
    store.add_shared(name, shared, now)
    return shared.stream_demands


def test_all_gateways_get_the_same_demand_that_changes_seldom() -> None:
    """Guards against gateways that reserve different engines."""
    store = StreamDemands()
    assert not _share(store, 'a', [40, 10], 0)
    published: list[_Demands] = []
    for step in range(1, 60):
        demand = [40 + step % 3, 10]
        published += [
            _share(store, name, demand, 1 + step / 10) for name in 'abc'
        ]
    settled = published[60:]
    assert all(demand == settled[0] for demand in settled)
    assert 100 < settled[0]['lm'][0] < 140


def test_demand_of_a_gateway_that_stopped_no_longer_counts() -> None:
    """Its engines would stay reserved for streams that nobody sends."""
    store = StreamDemands()
    _share(store, 'gone', [400, 0], 0)
    demand: _Demands = {}
    for step in range(200):
        demand = _share(store, 'a', [8, 8], step / 10)
    assert demand['lm'][0] < 15


def test_customer_loads_are_those_of_the_other_recent_gateways() -> None:
    """A gateway would count its own twice, and stopped ones for ever."""
    store = JoinedCustomerLoads()
    for name, at in (('gone', 0), ('a', 9), ('b', 9.5)):
        loads = {'lm': {'x': [1, 2, 0, 0, 0, 0]}}
        store.on_figures(name, GatewayFigures(customer_loads=loads), at)
    shared = SharedFigures()
    store.add_shared('b', shared, 9.5)
    assert shared.customer_loads == {'lm': {'x': [1, 2, 0, 0, 0, 0]}}
