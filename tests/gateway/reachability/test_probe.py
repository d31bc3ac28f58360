"""Guards against probes that cost more than a connection, or never end."""

from __future__ import annotations

import logging
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, closing

import pytest

from apricotcart.gateway.reachability.api import Reach
from apricotcart.gateway.reachability.monitor import ReachMonitor
from apricotcart.gateway.reachability.others import OthersView
from apricotcart.gateway.reachability.probe import PROBE_CHECK_S, ReachProbe
from apricotcart.gateway.reachability.probe_plan import ProbePlan
from apricotcart.timers.clock import boot_clock_s


class FixedPlan(ProbePlan):
    """Always probes the same endpoints."""

    def __init__(self, monitor: ReachMonitor, *addresses: str) -> None:
        self._addresses = addresses

    def due(self, now: float) -> list[str]:
        return list(self._addresses)


class Probing:
    """A probe whose plan is to connect to given endpoints each time."""

    def __init__(self, *addresses: str) -> None:
        self.monitor = ReachMonitor()
        self.regained: list[Reach] = []
        self.probe = ReachProbe(
            self.monitor,
            FixedPlan(self.monitor, *addresses),
            lambda: addresses,
            self._on_regained,
        )

    def run_until(self, reach: Reach, timeout_s: float) -> None:
        deadline = time.monotonic() + timeout_s
        while self.monitor.reach(boot_clock_s()) is not reach:
            assert time.monotonic() < deadline
            self.probe.run_due()
            time.sleep(PROBE_CHECK_S)
        self.probe.run_due()

    def _on_regained(self) -> None:
        self.regained.append(self.monitor.reach(boot_clock_s()))


@pytest.fixture
def silent() -> Iterator[str]:
    """Yield an address that does not answer new connections."""
    with ExitStack() as sockets:
        listener = socket.socket()
        sockets.enter_context(closing(listener))
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        host, port = listener.getsockname()
        # Fills the accept queue, so that the kernel drops further requests.
        for _ in range(4):
            waiting = sockets.enter_context(closing(socket.socket()))
            waiting.setblocking(False)
            waiting.connect_ex((host, port))
        yield f'{host}:{port}'


def _free_address() -> str:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return f'127.0.0.1:{listener.getsockname()[1]}'


def test_probe_connects_and_closes_at_once() -> None:
    """Guards against requests and held slots at the endpoint."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.settimeout(2)
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        probing = Probing(address)
        probing.probe.run_due()
        conn, _ = listener.accept()
        with closing(conn):
            conn.settimeout(2)
            assert not conn.recv(1)
    reached_s, _ = probing.monitor.reached(boot_clock_s())
    assert reached_s is not None


def _running_probes() -> set[threading.Thread]:
    return {
        thread for thread in threading.enumerate() if '_connect' in thread.name
    }


def test_probe_of_a_silent_endpoint_does_not_block(
    silent: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        'apricotcart.gateway.reachability.probe._CONNECT_TIMEOUT_S', 20
    )
    earlier = _running_probes()
    Probing(silent).probe.run_due()
    assert _running_probes() - earlier


def test_probe_of_a_silent_endpoint_ends(silent: str) -> None:
    earlier = _running_probes()
    probing = Probing(silent)
    probing.run_until(Reach.SUSPECT, 10)
    deadline = time.monotonic() + 10
    while _running_probes() - earlier:
        assert time.monotonic() < deadline
        time.sleep(PROBE_CHECK_S)


def test_cut_is_logged_and_its_end_clears_the_failures(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, logger='apricotcart.decisions')
    addresses = [_free_address() for _ in range(3)]
    probing = Probing(*addresses)
    probing.monitor.on_view(OthersView(None, (), boot_clock_s()))
    probing.run_until(Reach.CUT_OFF, 5)
    assert not probing.regained
    with ExitStack() as listeners:
        for address in addresses:
            host, _, port = address.rpartition(':')
            listeners.enter_context(socket.create_server((host, int(port))))
        probing.run_until(Reach.REACHED, 5)
    assert probing.regained == [Reach.REACHED]
    records = [record for record in caplog.records if hasattr(record, 'event')]
    assert [record.event for record in records] == [
        'endpoints_cut_off',
        'endpoints_regained',
    ]
    assert records[0].__dict__['failed_endpoints'] == 3
    assert records[0].__dict__['since_success_s'] >= 1
