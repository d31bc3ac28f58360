"""Guards against transfers that begin anew, and against untrue versions."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import pytest
from coordinator.test_state_blocks import document_of

from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)
from apricotcart.coordinator.newest_state import NewestState
from apricotcart.coordinator.state import CoordinatorState
from apricotcart.coordinator.state_transfer import (
    CommittedBlocks,
    StateTransfer,
    StateTransferHandler,
)
from apricotcart.errors.tree import UnavailableError
from apricotcart.gateway import state as state_module
from apricotcart.gateway import state_fetch as fetch_module
from apricotcart.gateway.block_assembly import BlockAssembly
from apricotcart.gateway.block_client import BlockClient
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.errors import NotReadyError
from apricotcart.gateway.state import StateCopy
from apricotcart.gateway.state_adoption import StateAdoption
from apricotcart.gateway.state_fetch import StateFetch
from apricotcart.gateway.state_sources import StateSources

_APPLY_S = 2.0
_LEASE_S = 7.0
_ROUTES = 5000


class Clock:
    """Clock that requests and the test advance."""

    def __init__(self) -> None:
        self.now: float = 100

    def boot_clock_s(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


class Network:
    """Hosts that answer after a while, some of them never."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.hosts: dict[str, StateTransferHandler] = {}
        self.silent: set[str] = set()
        self.answered: list[str] = []

    def call(self, address: str, message: Any, timeout_s: float) -> Any:
        if address in self.silent:
            self.clock.now += timeout_s
            raise UnavailableError('no answer')
        self.clock.now += 0.05
        self.answered.append(message['kind'])
        return self.hosts[address].answer(dict(message))

    def close_unused(self) -> None:
        """Keep the connections."""


class Scenario:
    """A gateway, and control hosts that have a state."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.network = Network(clock)
        self.committed = CoordinatorState()
        self.documents: dict[bytes, int] = {}
        document_format: Any = SimpleNamespace(decode=self._decode)
        self.state = StateCopy(document_format, _LEASE_S, _APPLY_S)
        self.assembly = BlockAssembly(random.Random(1))
        network: Any = self.network
        hosts: Any = SimpleNamespace(hosts=('a', 'b'))
        ports: Any = SimpleNamespace(request_address=str)
        bounds: Any = SimpleNamespace(cold_overshoot=1, cold_tolerance=0)
        self.adopted: list[int] = []
        self.fetch = StateFetch(
            client_id='g',
            state=self.state,
            adoption=StateAdoption(
                self.state, Dispatcher(Placement('a')), bounds
            ),
            assembly=self.assembly,
            sources=StateSources(random.Random(1)),
            client=BlockClient(hosts, ports, network),
            on_adopted=lambda: self.adopted.append(self.state.version),
        )
        self.leader = NewestState(self.committed, random.Random(1))
        for name in ('a', 'b'):
            self.network.hosts[name] = StateTransferHandler(
                StateTransfer(CommittedBlocks(self.committed))
            )

    def commit(self, version: int, document: bytes) -> None:
        self.documents[document] = version
        self.committed.version = version
        self.committed.document = document

    def sync(self) -> SharedFigures:
        figures = GatewayFigures()
        self.fetch.add_figures(figures, self.clock.now)
        shared = SharedFigures()
        self.leader.on_figures('g', figures, self.clock.now)
        self.leader.add_shared('g', shared, self.clock.now)
        self.state.observe(shared.state_version, self.clock.now)
        self.fetch.apply_figures(shared, self.clock.now)
        return shared

    def run(self, steps: int) -> int:
        """Return the number of answered requests for blocks."""
        before = self.network.answered.count('state_blocks')
        for _ in range(steps):
            if self.state.is_outdated:
                self.fetch.run_once()
        return self.network.answered.count('state_blocks') - before

    def _decode(self, document: bytes) -> Any:
        return SimpleNamespace(
            version=self.documents[document],
            routes=(),
            services=(),
            customers=None,
        )


@pytest.fixture
def scenario(monkeypatch: pytest.MonkeyPatch) -> Scenario:
    """Return a gateway without a state."""
    clock = Clock()
    for module in (state_module, fetch_module):
        monkeypatch.setattr(module, 'boot_clock_s', clock.boot_clock_s)
    monkeypatch.setattr(fetch_module, 'sleep', clock.sleep)
    return Scenario(clock)


def test_transfer_continues_after_silence_and_after_a_change(
    scenario: Scenario,
) -> None:
    """A transfer that began anew would never end on a slow link."""
    scenario.commit(1, document_of(1, _ROUTES))
    scenario.sync()
    first = scenario.run(8)
    assert first and not scenario.state.is_known
    lacking = scenario.assembly.missing()
    scenario.network.silent = {'a', 'b'}
    scenario.run(4)
    assert scenario.assembly.missing() == lacking
    scenario.network.silent = {'a'}
    changed = document_of(1, _ROUTES).replace(b'{', b'{"x":1,', 1)
    scenario.commit(2, changed)
    scenario.sync()
    rest = scenario.run(900)
    assert scenario.adopted == [2]
    assert scenario.state.is_usable
    scenario.commit(3, changed.replace(b'{', b'{"y":1,', 1))
    scenario.sync()
    assert scenario.run(900) <= 3 < rest
    assert scenario.state.version == 3


def test_small_state_comes_with_the_sync(scenario: Scenario) -> None:
    scenario.commit(1, b'small')
    assert scenario.sync().state_document is not None
    assert scenario.state.version == 1
    assert scenario.sync().state_document is None
    assert not scenario.network.answered


def test_gateway_that_has_the_state_gives_it_to_others(
    scenario: Scenario,
) -> None:
    """Control hosts alone would need long for hundreds of gateways."""
    scenario.fetch.serve_at('g-address')
    scenario.commit(1, document_of(1, _ROUTES))
    scenario.sync()
    scenario.run(900)
    scenario.sync()
    other = GatewayFigures(state_version=-1, fetches_state=True)
    shared = SharedFigures()
    scenario.leader.on_figures('h', other, scenario.clock.now)
    scenario.leader.add_shared('h', shared, scenario.clock.now)
    assert shared.state_sources == ['g-address']
    assert shared.state_document is None
    peer = StateTransferHandler(StateTransfer(scenario.assembly))
    manifest = peer.answer({'kind': 'state_manifest'})['manifest']
    assert manifest['version'] == 1


def test_manifest_of_another_version_than_its_document_is_dropped(
    scenario: Scenario,
) -> None:
    """A host may read version and document around a change."""
    document = document_of(1, _ROUTES)
    scenario.commit(2, document)
    scenario.documents[document] = -1
    scenario.sync()
    scenario.run(60)
    assert not scenario.adopted
    scenario.documents[document] = 2
    scenario.run(60)
    assert scenario.adopted == [2]


def test_copy_with_a_known_successor_is_used_for_the_time_to_apply_it(
    scenario: Scenario,
) -> None:
    """Guards against confirming a copy that is not the newest one."""
    scenario.commit(1, b'small')
    scenario.sync()
    confirmed_at = scenario.clock.now
    scenario.commit(2, document_of(1, _ROUTES))
    scenario.network.silent = {'a', 'b'}
    while scenario.clock.now + 0.3 <= confirmed_at + _APPLY_S:
        scenario.clock.now += 0.3
        scenario.sync()
        assert scenario.state.table().state.version == 1
        with pytest.raises(NotReadyError):
            scenario.state.route('h', '/unknown/')
    scenario.clock.now += 0.3
    scenario.sync()
    assert not scenario.state.is_usable
    with pytest.raises(NotReadyError):
        scenario.state.table()


def test_unreachable_gateways_hardly_delay_a_transfer(
    scenario: Scenario,
) -> None:
    """Each of them would take the time of a message."""
    peers = [f'peer-{number}' for number in range(6)]
    for number, peer in enumerate(peers):
        figures = GatewayFigures(state_address=peer, state_version=1)
        scenario.leader.on_figures(str(number), figures, scenario.clock.now)
    scenario.network.silent = set(peers)
    scenario.commit(1, document_of(1, _ROUTES))
    scenario.sync()
    began_at = scenario.clock.now
    scenario.run(900)
    assert scenario.adopted == [1]
    assert scenario.clock.now < began_at + _APPLY_S
