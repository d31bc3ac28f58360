"""Guards against needless connections, and against a cut nobody probes."""

from __future__ import annotations

import random

from apricotcart.gateway.reachability.api import Reach
from apricotcart.gateway.reachability.monitor import ReachMonitor
from apricotcart.gateway.reachability.others import OthersView
from apricotcart.gateway.reachability.probe_plan import ProbePlan

_LISTED = tuple(f'10.0.0.{number}:80' for number in range(20))
_START_S = 100.0
_STEP_S = 0.05


class Probing:
    """A plan over simulated time; probes have the given outcome."""

    def __init__(
        self, *, delay_s: float = 0.005, succeeds: bool = True
    ) -> None:
        self.now = _START_S
        self.monitor = ReachMonitor()
        self.monitor.replace_listed(_LISTED)
        self.plan = ProbePlan(self.monitor, random.Random(1))
        self.delay_s = delay_s
        self.succeeds = succeeds
        self.probes: list[tuple[float, str]] = []
        self._ends: list[tuple[float, float, str]] = []

    def run(self, duration_s: float, *, has_bytes: bool = False) -> None:
        until = self.now + duration_s
        while self.now < until:
            self.now = round(self.now + _STEP_S, 4)
            if has_bytes:
                self.monitor.on_received(_LISTED[0], self.now)
            ended = [end for end in self._ends if end[0] <= self.now]
            for end in ended:
                self._ends.remove(end)
                self._end(end[1], end[2])
            for address in self.plan.due(self.now):
                self.probes.append((self.now, address))
                self._ends.append((self.now + self.delay_s, self.now, address))

    def _end(self, started_at: float, address: str) -> None:
        if self.succeeds:
            self.monitor.on_connected(address, self.now)
        else:
            self.monitor.on_attempt_failed(address, started_at, self.now)


def test_host_with_traffic_does_not_probe() -> None:
    probing = Probing()
    probing.run(20, has_bytes=True)
    assert not probing.probes


def test_host_without_traffic_probes_about_once_a_second() -> None:
    probing = Probing()
    probing.run(20)
    assert 18 <= len(probing.probes) <= 23


def test_host_without_endpoints_does_not_probe() -> None:
    probing = Probing()
    probing.monitor.replace_listed(())
    probing.run(5)
    assert not probing.probes


def test_one_failed_connection_is_probed_until_one_succeeds() -> None:
    probing = Probing()
    probing.run(1, has_bytes=True)
    probing.monitor.on_connect_failed(_LISTED[0], probing.now)
    probing.run(5, has_bytes=True)
    assert len(probing.probes) == 2


def test_connection_that_is_not_answered_is_probed_at_once() -> None:
    """Guards against waiting 1.2 s for the connection of a request."""
    probing = Probing()
    probing.run(1, has_bytes=True)
    probing.monitor.on_connecting(_LISTED[3], probing.now)
    probing.run(0.25, has_bytes=True)
    assert len(probing.probes) == 2


def test_few_endpoints_are_probed_at_a_time() -> None:
    probing = Probing(delay_s=0.5, succeeds=False)
    probing.run(10)
    assert probing.monitor.reach(probing.now) is not Reach.REACHED
    for started_at, _ in probing.probes:
        recent = [
            at for at, _ in probing.probes if 0 <= at - started_at < 0.3 - 1e-6
        ]
        assert len(recent) <= 3
    assert len(probing.probes) / 10 <= 7


def test_probes_go_to_different_endpoints() -> None:
    probing = Probing(delay_s=0.5, succeeds=False)
    probing.run(2)
    addresses = [address for _, address in probing.probes]
    assert len(addresses) == len(set(addresses))
    assert len(addresses) >= 6


def test_endpoints_that_others_have_just_reached_are_probed_first() -> None:
    """Guards against taking crashed endpoints for a cut by chance."""
    probing = Probing()
    probing.run(1, has_bytes=True)
    reached = _LISTED[5:7]
    probing.monitor.on_view(OthersView(True, reached, probing.now))
    probing.monitor.on_connect_failed(_LISTED[0], probing.now)
    probing.run(0.1, has_bytes=True)
    assert {address for _, address in probing.probes} == set(reached)


def test_endpoints_take_turns() -> None:
    """Guards against a return that waits for one endpoint of three."""
    probing = Probing()
    probing.monitor.replace_listed(_LISTED[:4])
    probing.run(19)
    addresses = [address for _, address in probing.probes]
    assert sorted(addresses[:4]) == sorted(_LISTED[:4])
    assert addresses[4:16] == addresses[:4] * 3


def test_single_endpoint_is_probed_while_requests_connect() -> None:
    """Guards against requests that wait there and hold probes back."""
    probing = Probing(delay_s=0.5, succeeds=False)
    probing.monitor.replace_listed(_LISTED[:1])
    probing.monitor.on_connecting(_LISTED[0], probing.now)
    probing.run(2)
    assert probing.monitor.reach(probing.now) is not Reach.REACHED
