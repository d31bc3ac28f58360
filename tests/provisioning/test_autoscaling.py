"""Tests of endpoint orders under varying load and reclaimed zones."""

from __future__ import annotations

from apricotcart.desired.records import Engine, Scaling, Service
from apricotcart.endpoints.instances import Instance
from apricotcart.provisioning.autoscaling import Autoscaler
from apricotcart.provisioning.fleet_api import EndpointOrder
from apricotcart.provisioning.scaling_inputs import ClosedZones, ServiceLoad

_ZONES = ('a', 'b', 'c', 'd')
_BOOT_S = 4.0
_IDLE = ServiceLoad(requests=0, unread_tokens=0)


def _service(
    spot_share: float | None = 0.22,
    *,
    slots: int = 64,
    most: int = 3,
) -> Service:
    return Service(
        name='lm',
        health_path='/h',
        max_conns=None,
        engine=Engine(slots=slots, kv_tokens=700_000),
        scaling=Scaling(
            least=1,
            most=most,
            boot_s=_BOOT_S,
            spot_share=spot_share,
            zone_prices={'a': 0.85, 'b': 1.2, 'c': 1.0, 'd': 1.1},
        ),
    )


class World:
    """A simulated platform whose endpoints start some time after an order."""

    def __init__(self, service: Service, regular: int) -> None:
        self.service = service
        assert service.scaling is not None
        self.most = service.scaling.most
        self.scaler = Autoscaler()
        self.now: float = 0
        self.counts = {(zone, True): 0 for zone in _ZONES}
        self.counts.update({(zone, False): 0 for zone in _ZONES})
        for number in range(regular):
            self.counts[(_ZONES[number % 4], False)] += 1
        self.booting: list[tuple[float, EndpointOrder]] = []
        self.zones_without_spot: set[str] = set()
        self.orders: list[EndpointOrder] = []
        self.closed: set[str] = set()

    def run(self, seconds: float, load: ServiceLoad = _IDLE) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self._start()
            for order in self.scaler.decide(
                self.now,
                self.service,
                self._instances(),
                load,
                self.closed,
            ):
                self._send(order)

    def total(self, *, is_spot: bool) -> int:
        return sum(self.counts[(zone, is_spot)] for zone in _ZONES)

    def spread_regular(self) -> None:
        total = self.total(is_spot=False)
        for position, zone in enumerate(_ZONES):
            self.counts[(zone, False)] = (total + 3 - position) // 4

    def _send(self, order: EndpointOrder) -> None:
        self.orders.append(order)
        is_taken = not (order.is_spot and order.zone in self.zones_without_spot)
        self.scaler.record_result(self.now, order, is_accepted=is_taken)
        if is_taken:
            key = (order.zone, order.is_spot)
            other = self.counts[(order.zone, not order.is_spot)]
            assert order.count + other <= self.most
            self.counts[key] = min(self.counts[key], order.count)
            self.booting.append((self.now + _BOOT_S, order))

    def _start(self) -> None:
        due = [order for at, order in self.booting if at <= self.now]
        self.booting = [boot for boot in self.booting if boot[0] > self.now]
        for order in due:
            key = (order.zone, order.is_spot)
            self.counts[key] = max(self.counts[key], order.count)

    def _instances(self) -> list[Instance]:
        return [
            Instance(
                instance_id=f'{zone}{is_spot}{number}',
                service='lm',
                address='10.0.0.1:1',
                zone=zone,
                slots=64,
                is_ready=True,
                is_spot=is_spot,
            )
            for (zone, is_spot), count in self.counts.items()
            for number in range(count)
        ]


def test_idle_service_moves_to_spot_endpoints_in_all_zones() -> None:
    world = World(_service(), regular=6)
    world.run(40)
    assert world.total(is_spot=False) == 0
    assert world.total(is_spot=True) == 8
    assert all(world.counts[(zone, True)] == 2 for zone in _ZONES)


def test_regular_endpoints_stay_until_spot_ones_run() -> None:
    world = World(_service(), regular=8)
    world.run(_BOOT_S - 1)
    assert world.total(is_spot=False) == 8


def test_steady_load_sends_no_more_orders() -> None:
    world = World(_service(), regular=6)
    world.run(40)
    count = len(world.orders)
    world.run(60)
    assert len(world.orders) == count


def test_other_zones_replace_a_reclaimed_zone() -> None:
    world = World(_service(), regular=6)
    world.run(40)
    world.counts[('a', True)] = 0
    world.zones_without_spot.add('a')
    world.run(12)
    assert world.total(is_spot=True) == 8
    assert world.total(is_spot=False) == 0
    world.zones_without_spot.clear()
    world.run(20)
    assert world.counts[('a', True)] == 2


def test_regular_endpoints_replace_missing_spot_endpoints() -> None:
    world = World(_service(), regular=0)
    world.zones_without_spot.update(_ZONES)
    world.run(20)
    assert world.total(is_spot=False) >= 4


def test_high_load_adds_endpoints_and_delays_release() -> None:
    world = World(_service(), regular=6)
    world.run(40)
    world.run(8, ServiceLoad(requests=110, unread_tokens=0))
    assert world.total(is_spot=True) >= 11
    world.run(4)
    assert world.total(is_spot=True) >= 11
    world.run(30)
    assert world.total(is_spot=True) == 8


def test_new_leader_keeps_running_endpoints() -> None:
    world = World(_service(), regular=6)
    world.run(40)
    world.run(8, ServiceLoad(requests=110, unread_tokens=0))
    running = world.total(is_spot=True)
    world.scaler = Autoscaler()
    world.run(5)
    assert world.total(is_spot=True) >= running


def test_most_initial_endpoints_stay_until_first_request() -> None:
    """Guards against releasing endpoints before the first burst arrives."""
    world = World(_service(most=6), regular=20)
    world.run(40)
    assert world.total(is_spot=True) == 15
    world.run(30, ServiceLoad(requests=1, unread_tokens=0))
    assert world.total(is_spot=True) == 8


def test_endpoints_listed_one_by_one_are_kept() -> None:
    """Guards against releasing endpoints that are not listed yet."""
    world = World(_service(most=6), regular=1)
    for _ in range(19):
        world.run(1)
        assert all(order.is_spot for order in world.orders)
        world.counts[('b', False)] += 1
        world.spread_regular()
    world.run(20)
    assert world.total(is_spot=True) == 15


def test_engines_with_few_slots_are_filled_to_half() -> None:
    """Guards against too many engines when each has only a few slots."""
    world = World(_service(slots=12), regular=8)
    world.run(40, ServiceLoad(requests=60, unread_tokens=0))
    assert world.total(is_spot=True) == 10


def test_service_without_spot_keeps_regular_endpoints() -> None:
    world = World(_service(spot_share=None), regular=8)
    world.run(30)
    assert world.total(is_spot=False) == 8
    assert world.total(is_spot=True) == 0


def test_nothing_is_ordered_or_released_in_a_closed_zone() -> None:
    """The other zones take over, and the closed one is as it was after that."""
    world = World(_service(most=8), regular=0)
    world.run(40)
    world.orders.clear()
    world.closed = {'a'}
    world.run(20)
    assert not any(order.zone == 'a' for order in world.orders)
    assert world.counts[('a', True)] == 2
    assert world.total(is_spot=True) == 10
    world.closed = set(_ZONES)
    world.orders.clear()
    world.run(5)
    assert not world.orders


def test_zone_stays_closed_for_a_while_after_its_evacuation() -> None:
    zones = ClosedZones()
    assert zones.update({'a'}, 0) == {'a'}
    assert zones.update((), 9.9) == {'a'}
    assert not zones.update((), 10)
