"""Guards against messages that control hosts of an earlier build refuse."""

from __future__ import annotations

from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)
from apricotcart.coordinator.shared_figures import FigureStore, FigureStores
from apricotcart.coordinator.sync_messages import SyncRequest
from apricotcart.gateway.shared_figures import FigureExchange, FigureUser


class Room(FigureUser, FigureStore):
    """Shares one figure."""

    def __init__(self) -> None:
        self.rooms: dict[str, float | None] = {}
        self.versions: list[int] = []

    def add_figures(self, figures: GatewayFigures, now: float) -> None:
        figures.room = 0.5

    def apply_figures(self, shared: SharedFigures, requested_at: float) -> None:
        self.versions.append(shared.state_version)

    def on_figures(
        self, incarnation: str, figures: GatewayFigures, now: float
    ) -> None:
        self.rooms[incarnation] = figures.room

    def add_shared(
        self, incarnation: str, shared: SharedFigures, now: float
    ) -> None:
        shared.state_version = 7


def test_no_figures_before_the_leader_understands_them() -> None:
    exchange = FigureExchange([Room()])
    assert exchange.request(0) is None
    exchange.on_leader(is_understood=True)
    assert exchange.request(0) is not None
    exchange.on_failure()
    assert exchange.request(0) is None


def test_a_gateway_of_an_earlier_build_gets_no_figures() -> None:
    assert FigureStores([Room()]).exchange('g1', None, 0) is None


def test_figures_of_a_newer_build_are_understood() -> None:
    user = Room()
    exchange = FigureExchange([user])
    exchange.on_leader(is_understood=True)
    wire = {**(exchange.request(0) or {}), 'new_field': 1}
    store = Room()
    shared = FigureStores([store]).exchange('g1', wire, 0) or {}
    exchange.apply({**shared, 'new_field': 1}, 0)
    assert store.rooms == {'g1': 0.5}
    assert user.versions == [7]


def test_a_sync_without_figures_has_no_field_for_them() -> None:
    request = SyncRequest(
        host='h1',
        incarnation='g1',
        address='127.0.0.1:1',
        zone='z1',
        is_serving=True,
        version=1,
        list_mark=0,
        loads={},
        waiting={},
        usage={},
    )
    assert 'exchange' not in request.to_wire()
    request.exchange = {}
    assert 'exchange' in request.to_wire()
