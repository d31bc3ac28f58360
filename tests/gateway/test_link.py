"""Guards against a gateway that uses an outdated list of endpoints."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from gateway.conftest import MemoryStore, Versions

from apricotcart.coordinator.exchange_messages import SharedFigures
from apricotcart.coordinator.messages import (
    HAS_VERSION,
    SHARES_FIGURES,
    TAKES_VERSIONS,
)
from apricotcart.coordinator.sync_messages import ANY_VERSION, SyncReply
from apricotcart.endpoints.instances import Instance
from apricotcart.errors.tree import UnavailableError
from apricotcart.gateway import link as link_module
from apricotcart.gateway.crash_quarantine import CrashQuarantine
from apricotcart.gateway.dispatching import endpoint_updates as updates_module
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.dispatching.endpoint_updates import EndpointUpdater
from apricotcart.gateway.dispatching.list_relay import (
    ListRelay,
    RelayedList,
)
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.link import ControlLink
from apricotcart.gateway.reachability.monitor import ReachMonitor
from apricotcart.gateway.reachability.sync import SyncedReach
from apricotcart.gateway.retry_policy import RetryPolicy
from apricotcart.gateway.shared_figures import FigureExchange
from apricotcart.gateway.stop_state import StopState
from apricotcart.gateway.usage import UsageCounter
from apricotcart.membership.peers import PeerDirectory
from apricotcart.provisioning.fleet_api import PlatformUnavailableError
from apricotcart.resumption.stream_origins import StreamOrigins
from apricotcart.timers.clock import SteadyUnixClock


class Clock:
    """Clock that only the test and an unresponsive leader advance."""

    def __init__(self) -> None:
        self.now: float = 100

    def boot_clock_s(self) -> float:
        return self.now


class Leader:
    """Responds to the first sync only."""

    def __init__(self, clock: Clock, reply: SyncReply) -> None:
        self.clock = clock
        self.replies = [reply]
        self.messages: list[Any] = []
        # Fields of the replies besides that of the sync.
        self.fields: dict[str, Any] = {}

    def call(
        self, message: Any, timeout_s: float, host_timeout_s: float
    ) -> Any:
        self.messages.append(message)
        if self.replies:
            return {**self.fields, 'sync': self.replies.pop().to_wire()}
        self.clock.now += timeout_s
        raise UnavailableError('no answer')

    def replace_members(self, members: Any) -> None:
        """Ignore the members."""


class SilentPlatform:
    """Answers no call before its timeout."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def instances(self) -> list[Instance]:
        self.clock.now += 1
        raise PlatformUnavailableError('no answer')


class Platform:
    """Lists no endpoints and counts the calls."""

    def __init__(self) -> None:
        self.calls = 0

    def instances(self) -> list[Instance]:
        self.calls += 1
        return []


class Relay(ListRelay):
    """Control hosts of which one has a list, or none answers."""

    def __init__(self) -> None:
        self.relayed: RelayedList | None = None
        self.requests = 0

    def request(self, known_mark: int) -> RelayedList | None:
        self.requests += 1
        return self.relayed


class SlowPlatform(Platform):
    """Lists no endpoints after a second, in which ``on_call`` runs."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.on_call: Callable[[], object] = list

    def instances(self) -> list[Instance]:
        self.clock.now += 1
        self.on_call()
        return super().instances()


class KnownState:
    """Copy of version 1, which is usable."""

    def __init__(self) -> None:
        self.version = 1
        self.newest_version = 1
        self.is_usable = True
        self.observed: list[tuple[int, float]] = []

    def observe(self, newest_version: int, asked_at: float) -> None:
        self.observed.append((newest_version, asked_at))

    def adopt(self, document: bytes, confirmed_at: float) -> None:
        self.version = int(document)


class Scenario:
    """A gateway's link to a leader that responds to the first sync only."""

    def __init__(self, clock: Clock, platform: Any, list_mark: int) -> None:
        true_clock = SteadyUnixClock.from_host()
        reply = SyncReply(
            document=None,
            list_mark=list_mark,
            instances=[],
            loads={},
            hosts=1,
            members=[],
            unix_s=true_clock.now_s(),
        )
        cfg: Any = SimpleNamespace(
            bounds=SimpleNamespace(cold_overshoot=1, cold_tolerance=0),
            host=SimpleNamespace(name='h', zone='a'),
            listen=SimpleNamespace(callers='10.0.0.1:80'),
        )
        self.leader = Leader(clock, reply)
        leader: Any = self.leader
        self.state = KnownState()
        state: Any = self.state
        self.relay = Relay()
        dispatcher = Dispatcher(Placement('a'))
        self.endpoints = EndpointUpdater(
            platform, self.relay, dispatcher, ConnectionPool()
        )
        self.link = ControlLink(
            cfg=cfg,
            leader=leader,
            state=state,
            dispatcher=dispatcher,
            endpoints=self.endpoints,
            retry_policy=RetryPolicy(1, 100),
            usage=UsageCounter(true_clock, 5),
            clock=true_clock,
            stop_state=StopState(),
            quarantine=CrashQuarantine(),
            origins=StreamOrigins(MemoryStore(), Versions()),
            figures=FigureExchange(()),
            reachability=SyncedReach(
                ReachMonitor(), PeerDirectory(), '10.0.0.1:90'
            ),
        )


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Return the clock of the link and of the list of endpoints."""
    clock = Clock()
    for module in (link_module, updates_module):
        monkeypatch.setattr(module, 'boot_clock_s', clock.boot_clock_s)
    return clock


def test_silent_platform_does_not_delay_syncs(clock: Clock) -> None:
    """Seen on sailom-fleet: each sync waited 1 s for the platform's list."""
    scenario = Scenario(clock, SilentPlatform(clock), list_mark=0)
    started_at = clock.now
    scenario.link.sync()
    assert clock.now == started_at


def test_sync_without_response_fetches_list_from_platform(
    clock: Clock,
) -> None:
    """Guards against missing a draining endpoint while no leader responds.

    Seen on csft-sealdesk, hunt-6bed-27: after the leader had stopped, a
    gateway fetched the endpoint list 2.5 s after the previous one.
    """
    platform = Platform()
    scenario = Scenario(clock, platform, list_mark=7)
    scenario.link.sync()
    scenario.endpoints.refresh_if_stale()
    assert platform.calls == 0
    clock.now += scenario.link.interval_s()
    scenario.link.sync()
    scenario.endpoints.refresh_if_stale()
    assert platform.calls == 1


def test_list_fetched_before_a_reply_does_not_replace_it(clock: Clock) -> None:
    """An older list could name an endpoint ready that drains by now."""

    platform = SlowPlatform(clock)
    scenario = Scenario(clock, platform, list_mark=7)
    platform.on_call = scenario.link.sync
    scenario.endpoints.refresh_if_stale()
    assert scenario.endpoints.mark == 7


def test_any_control_host_provides_the_list_without_a_leader(
    clock: Clock,
) -> None:
    """Guards against hundreds of gateways that call the platform at once.

    It limits the calls of all hosts together, so that hardly any of them
    obtained a list.
    """
    platform = Platform()
    scenario = Scenario(clock, platform, list_mark=7)
    scenario.link.sync()
    for mark in range(8, 20):
        clock.now += 1
        scenario.relay.relayed = RelayedList(mark, [], 0.1)
        scenario.endpoints.refresh_if_stale()
        assert scenario.endpoints.mark == mark
    assert not platform.calls


def test_gateways_without_any_control_host_fetch_within_the_rate_limit(
    clock: Clock,
) -> None:
    """All 191 gateways lose the control hosts at the same moment."""
    platform = Platform()
    scenarios = [Scenario(clock, platform, list_mark=7) for _ in range(191)]
    started_at = clock.now
    for scenario in scenarios:
        scenario.link.sync()
        scenario.endpoints.set_host_count(len(scenarios))
        scenario.endpoints.apply_reply(None, 7, clock.now)
    calls = []
    while clock.now < started_at + 30:
        clock.now += 0.5
        for scenario in scenarios:
            scenario.endpoints.refresh_if_stale()
        calls.append(platform.calls)
    per_second = [
        after - before for before, after in zip(calls, calls[2:], strict=False)
    ]
    assert max(per_second) <= 40
    assert platform.calls >= len(scenarios)


def test_list_of_a_control_host_does_not_replace_a_newer_one(
    clock: Clock,
) -> None:
    platform = SilentPlatform(clock)
    scenario = Scenario(clock, platform, list_mark=7)
    scenario.link.sync()
    clock.now += 1.1
    scenario.relay.relayed = RelayedList(9, [], 1.2)
    scenario.endpoints.refresh_if_stale()
    assert scenario.relay.requests == 1
    assert scenario.endpoints.mark == 7


def _reply(**fields: Any) -> SyncReply:
    return SyncReply(
        list_mark=0,
        instances=None,
        loads={},
        hosts=1,
        members=[],
        unix_s=SteadyUnixClock.from_host().now_s(),
        **fields,
    )


@pytest.mark.parametrize('shares_figures', [False, True])
def test_leader_of_an_earlier_build_sends_the_document(
    clock: Clock, *, shares_figures: bool
) -> None:
    """The first sync claims to have any version, and confirms nothing."""
    scenario = Scenario(clock, Platform(), list_mark=7)
    scenario.leader.fields = {SHARES_FIGURES: shares_figures}
    scenario.link.sync()
    assert scenario.leader.messages[0]['version'] == ANY_VERSION
    assert not scenario.state.observed
    assert not scenario.link.interval_s()
    scenario.leader.replies = [_reply(document=b'2')]
    scenario.link.sync()
    assert scenario.leader.messages[1]['version'] == 1
    assert ('exchange' in scenario.leader.messages[1]) == shares_figures
    assert scenario.state.observed == [(2, clock.now)]


def test_newer_version_does_not_confirm_the_copy(clock: Clock) -> None:
    scenario = Scenario(clock, Platform(), list_mark=7)
    scenario.leader.fields = {SHARES_FIGURES: True}
    scenario.link.sync()
    exchange = SharedFigures(state_version=5).to_wire()
    scenario.leader.replies = [_reply(document=None, exchange=exchange)]
    scenario.link.sync()
    assert scenario.state.version == 1
    assert scenario.state.observed == [(5, clock.now)]


@pytest.mark.parametrize('takes_versions', [False, True])
def test_leader_learns_at_once_that_a_change_is_in_force(
    clock: Clock, *, takes_versions: bool
) -> None:
    """Guards against a second whole sync of each gateway after a change."""
    scenario = Scenario(clock, Platform(), list_mark=7)
    scenario.leader.fields = {
        SHARES_FIGURES: True,
        TAKES_VERSIONS: takes_versions,
    }
    scenario.link.sync()
    scenario.leader.replies = [_reply(document=b'2')]
    scenario.link.sync()
    told = [
        message['version']
        for message in scenario.leader.messages
        if message['kind'] == HAS_VERSION
    ]
    expected = [2] if takes_versions else []
    assert told == expected
    assert bool(scenario.link.interval_s()) == takes_versions
