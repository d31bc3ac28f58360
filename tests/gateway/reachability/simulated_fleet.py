"""Gateways, endpoints and a leader over simulated time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any, Final

from apricotcart.coordinator.hosts import GatewayTable
from apricotcart.coordinator.sync_messages import SyncRequest
from apricotcart.gateway.reachability.api import Reach
from apricotcart.gateway.reachability.monitor import ReachChange, ReachMonitor
from apricotcart.gateway.reachability.probe_plan import ProbePlan
from apricotcart.gateway.reachability.sync import SyncedReach
from apricotcart.membership.peers import PeerDirectory

_TICK_S: Final = 0.05
_SYNC_S: Final = 0.3
_ROUND_TRIP_S: Final = 0.004
_PROBE_TIMEOUT_S: Final = 0.5
_REQUEST_TIMEOUT_S: Final = 1.2
# A response takes this long, and sends bytes at this interval.
_RESPONSE_S: Final = 0.6
_EVENT_S: Final = 0.1
_START_S: Final = 100.0

Action = Callable[[], None]


class Network:
    """Which gateway reaches which endpoint."""

    def __init__(self) -> None:
        self.crashed: set[str] = set()
        self.silent: set[str] = set()
        # How each gateway that is cut off is: 'silent' or 'refused'.
        self.cuts: dict[str, str] = {}
        # Gateways whose open connections outlive the cut.
        self.keeps_open: set[str] = set()
        # Endpoints that a cut spares.
        self.spared: set[str] = set()

    def connecting(self, gateway: str, endpoint: str) -> str:
        """Return the outcome of a new connection."""
        if endpoint not in self.spared and gateway in self.cuts:
            return self.cuts[gateway]
        if endpoint in self.crashed:
            return 'refused'
        return 'silent' if endpoint in self.silent else 'connected'

    def carries_bytes(self, gateway: str, endpoint: str) -> bool:
        """Return whether an open connection carries bytes."""
        if endpoint in self.crashed | self.silent:
            return False
        is_cut = gateway in self.cuts and endpoint not in self.spared
        return not is_cut or gateway in self.keeps_open


class SimulatedGateway:
    """One gateway, with the logic of the real one."""

    def __init__(self, name: str, fleet: SimulatedFleet, rate: float) -> None:
        self.name = name
        self.rate = rate
        self.is_paused = False
        self.monitor = ReachMonitor()
        self.peers = PeerDirectory()
        self.plan = ProbePlan(self.monitor, fleet.rng)
        self.synced = SyncedReach(self.monitor, self.peers, f'{name}:9')
        self.changes: list[tuple[float, ReachChange]] = []
        self.probes: list[float] = []
        self._fleet = fleet
        # Endpoints to which a connection is open.
        self._open: set[str] = set()

    def start(self) -> None:
        rng = self._fleet.rng
        self._fleet.after(rng.uniform(0, _TICK_S), self.tick)
        self._fleet.after(rng.uniform(0, _SYNC_S), self.sync)
        if self.rate:
            self._fleet.after(rng.uniform(0, 1 / self.rate), self.request)

    def forget_connections(self) -> None:
        """Make each endpoint need a new connection."""
        self._open.clear()

    def reach(self) -> Reach:
        return self.monitor.reach(self._fleet.now)

    def tick(self) -> None:
        fleet = self._fleet
        fleet.after(_TICK_S, self.tick)
        if self.is_paused:
            return
        self.monitor.replace_listed(fleet.listed)
        for address in self.plan.due(fleet.now):
            self.probes.append(fleet.now)
            self._connect(address, _PROBE_TIMEOUT_S, self._probe_ended)
        for change in self.monitor.take_changes(fleet.now):
            self.changes.append((fleet.now, change))

    def sync(self) -> None:
        fleet = self._fleet
        fleet.after(_SYNC_S, self.sync)
        if self.is_paused or not fleet.has_leader:
            return
        asked_at = fleet.now
        request = SyncRequest(
            host=self.name,
            incarnation=self.name,
            address=f'{self.name}:80',
            zone=self.name[-1],
            is_serving=True,
            version=1,
            list_mark=1,
            loads={},
            waiting={},
            usage={},
            reachability=self.synced.report(asked_at),
        )

        def reply() -> None:
            fleet.table.on_sync(request, fleet.now)
            fields = fleet.table.reach_reply(self.name, fleet.now)
            fleet.after(
                _ROUND_TRIP_S / 2, lambda: self.synced.apply(fields, asked_at)
            )

        fleet.after(_ROUND_TRIP_S / 2, reply)

    def request(self) -> None:
        fleet = self._fleet
        fleet.after(fleet.rng.expovariate(self.rate), self.request)
        if self.is_paused or self.reach() is Reach.CUT_OFF:
            return
        address = fleet.rng.choice(fleet.listed)
        if address in self._open:
            self._respond(address)
        else:
            self.monitor.on_connecting(address, fleet.now)
            self._connect(address, _REQUEST_TIMEOUT_S, self._request_ended)

    def _connect(
        self,
        address: str,
        timeout_s: float,
        on_end: Callable[[str, float, bool], None],
    ) -> None:
        fleet = self._fleet
        started_at = fleet.now
        outcome = fleet.network.connecting(self.name, address)
        delay_s = timeout_s if outcome == 'silent' else _ROUND_TRIP_S
        fleet.after(
            delay_s,
            lambda: self._when_running(
                lambda: on_end(address, started_at, outcome == 'connected')
            ),
        )

    def _probe_ended(
        self, address: str, started_at: float, is_connected: bool
    ) -> None:
        if is_connected:
            self.monitor.on_connected(address, self._fleet.now)
        else:
            self.monitor.on_attempt_failed(address, started_at, self._fleet.now)

    def _request_ended(
        self, address: str, started_at: float, is_connected: bool
    ) -> None:
        if is_connected:
            self._open.add(address)
            self.monitor.on_connected(address, self._fleet.now)
            self._respond(address)
        else:
            self.monitor.on_attempt_failed(address, started_at, self._fleet.now)

    def _respond(self, address: str) -> None:
        self._receive_until(address, self._fleet.now + _RESPONSE_S)

    def _receive_until(self, address: str, until: float) -> None:
        self._receive(address)
        if self._fleet.now < until:
            self._fleet.after(
                _EVENT_S, lambda: self._receive_until(address, until)
            )

    def _receive(self, address: str) -> None:
        if self._fleet.network.carries_bytes(self.name, address):
            self._when_running(
                lambda: self.monitor.on_received(address, self._fleet.now)
            )
        else:
            self._open.discard(address)

    def _when_running(self, report: Action) -> None:
        """Run now, or once the process runs again."""
        if self.is_paused:
            self._fleet.after(_TICK_S, lambda: self._when_running(report))
        else:
            report()


class SimulatedFleet:
    """Gateways with a leader, and endpoints of one service."""

    def __init__(
        self,
        *,
        gateways: int = 7,
        endpoints: int = 12,
        rate: float = 0,
        seed: int,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = _START_S
        self.started_at = _START_S
        self.network = Network()
        self.table = GatewayTable()
        self.has_leader = True
        self.listed = [f'10.0.0.{number}:80' for number in range(endpoints)]
        self._events: list[tuple[float, int, Action]] = []
        self._order = itertools.count()
        self.gateways = [
            SimulatedGateway(f'g{number}-{"abc"[number % 3]}', self, rate)
            for number in range(gateways)
        ]
        for gateway in self.gateways:
            gateway.start()

    def after(self, delay_s: float, action: Action) -> None:
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._order), action)
        )

    def run(self, duration_s: float) -> None:
        until = self.now + duration_s
        while self._events and self._events[0][0] <= until:
            at, _, action = heapq.heappop(self._events)
            self.now = at
            action()
        self.now = until

    def cut(
        self, gateways: Iterable[SimulatedGateway], how: str = 'silent'
    ) -> None:
        for gateway in gateways:
            self.network.cuts[gateway.name] = how

    def serving(self) -> set[str]:
        return {
            host.address.partition(':')[0]
            for host in self.table.serving(self.now)
        }

    def first_belief(
        self, gateway: SimulatedGateway, reach: Reach, since: float
    ) -> float | None:
        """Return the time from ``since`` to the first change to a belief."""
        for changed_at, change in gateway.changes:
            if changed_at >= since and change.after is reach:
                return changed_at - since
        return None

    def believed(self, reach: Reach) -> list[Any]:
        """Return the gateways that have ever had a belief."""
        return [
            gateway.name
            for gateway in self.gateways
            if any(change.after is reach for _, change in gateway.changes)
        ]
