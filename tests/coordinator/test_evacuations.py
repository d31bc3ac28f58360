"""Guards against evacuations that are lost, or acknowledged too early."""

from __future__ import annotations

from collections.abc import Sequence
from threading import Event, Thread
from typing import Any
from unittest.mock import Mock

import pytest

from apricotcart.codec.packing import pack, unpack
from apricotcart.control.api import ReplicatedState
from apricotcart.coordinator.addresses import Ports
from apricotcart.coordinator.errors import CallerGoneError, UnknownZoneError
from apricotcart.coordinator.evacuation_figures import EvacuationFigures
from apricotcart.coordinator.evacuation_service import EvacuationService
from apricotcart.coordinator.exchange_messages import (
    EvacuatedZones,
    GatewayFigures,
    SharedFigures,
)
from apricotcart.coordinator.member_builds import MemberBuilds
from apricotcart.coordinator.messages import KIND
from apricotcart.coordinator.state import CoordinatorState
from apricotcart.coordinator.state_copies import StateCopies
from apricotcart.errors.tree import (
    ApricotcartError,
    CodecError,
    NotLeaderError,
    UnavailableError,
)
from apricotcart.platform.applications import OperatorApplication
from apricotcart.transport.requests import error_reply
from apricotcart.web.request import WebRequest

_WAIT_S = 5


class FakeLog(ReplicatedState):
    """Log of a leader, which may stop right after a commit."""

    def __init__(self, state: CoordinatorState) -> None:
        self.state = state
        self.error: ApricotcartError | None = None
        self.stops_after_commit = False

    def propose(self, command: Any, timeout_s: float) -> Any:
        if self.error:
            raise self.error
        reply = unpack(self.state.apply(1, pack(command)))
        if self.stops_after_commit:
            raise UnavailableError('the outcome is unknown')
        return reply

    def barrier(self, timeout_s: float, *, is_settled: bool = False) -> None:
        """Confirm at once."""

    def lease_until(self) -> float:
        return 0

    def leader_name(self) -> str:
        return ''

    def status(self) -> Any:
        return {
            'members': {'voters': ['10.0.0.1.0', '10.0.0.2.0'], 'learners': []}
        }


class FakeLeader:
    """Answers forwarded calls with another host's service."""

    def __init__(self, service: EvacuationService | None = None) -> None:
        self.service = service
        self.calls = 0

    def follow_hint(self, exc: NotLeaderError) -> None:
        """Ignore the hint."""

    def call(
        self, message: Any, timeout_s: float, host_timeout_s: float
    ) -> Any:
        self.calls += 1
        if self.service is None:
            raise UnavailableError('no leader')
        return self.service.handlers()[message.pop(KIND)](message)


class Host:
    """One control host."""

    def __init__(
        self, state: CoordinatorState, zones: Sequence[str] = ('a', 'b')
    ) -> None:
        self.state = state
        self.log = FakeLog(state)
        self.leader = FakeLeader()
        leader: Any = self.leader
        self.copies = StateCopies()
        self.service = EvacuationService(
            replicated=self.log,
            leader=leader,
            builds=Mock(),
            confirmed=self.copies,
            zones=zones,
        )
        self.figures = EvacuationFigures(state.evacuations, self.copies)

    def change(
        self, zone: str, *, is_evacuated: bool, is_gone: bool = False
    ) -> None:
        self.service.change(
            zone, is_evacuated=is_evacuated, is_caller_gone=lambda: is_gone
        )

    def shared(self, now: float) -> EvacuatedZones:
        shared = SharedFigures()
        self.figures.add_shared('g', shared, now)
        return EvacuatedZones.from_wire(shared.evacuations)

    def respond(self, path: str, method: str = 'POST') -> tuple[int, Any]:
        app = OperatorApplication(Any, self.service)  # type: ignore[arg-type]
        environ = {'REQUEST_METHOD': method, 'PATH_INFO': f'/v1/{path}'}
        response = app._response(WebRequest(environ))  # noqa: SLF001
        return response.status, response


def _host() -> Host:
    return Host(CoordinatorState())


def test_resends_change_nothing_and_are_acknowledged_again() -> None:
    host = _host()
    for is_evacuated, revision in ((True, 1), (True, 1), (False, 2)):
        host.change('a', is_evacuated=is_evacuated)
        assert host.state.evacuations.revision == revision
    host.change('b', is_evacuated=False)
    assert host.state.evacuations.revision == 2


def test_unknown_zone_is_refused_and_changes_nothing() -> None:
    host = _host()
    with pytest.raises(UnknownZoneError):
        host.change('c', is_evacuated=True)
    anywhere = Host(host.state, zones=())
    with pytest.raises(UnknownZoneError):
        anywhere.change('a/b', is_evacuated=True)
    assert not host.state.evacuations.zones
    anywhere.change('c', is_evacuated=True)


def test_leader_that_stops_after_the_commit_loses_nothing() -> None:
    """The operator sends the request again, to the next leader."""
    old = _host()
    old.log.stops_after_commit = True
    with pytest.raises(UnavailableError):
        old.change('a', is_evacuated=True)
    successor = Host(CoordinatorState())
    successor.state.restore(old.state.snapshot())
    assert successor.state.evacuations.evacuated() == {'a'}
    successor.change('a', is_evacuated=True)
    assert successor.state.evacuations.revision == 1


def test_snapshot_of_the_build_before_has_no_evacuations() -> None:
    state = CoordinatorState()
    fields = unpack(state.snapshot())
    fields.pop('evacuations')
    state.restore(pack(fields))
    assert not state.evacuations.zones


def test_any_host_forwards_to_the_leader() -> None:
    leading = _host()
    host = _host()
    host.log.error = NotLeaderError('no')
    host.leader.service = leading.service
    host.change('a', is_evacuated=True)
    assert leading.state.evacuations.evacuated() == {'a'}


def test_late_request_without_a_caller_is_not_carried_out() -> None:
    """Its caller may have sent it elsewhere, and the opposite after that."""
    host = _host()
    with pytest.raises(CallerGoneError):
        host.change('a', is_evacuated=True, is_gone=True)
    assert not host.state.evacuations.zones
    host.log.error = NotLeaderError('no')
    answers = iter((False, True))
    with pytest.raises(CallerGoneError):
        host.service.change(
            'a', is_evacuated=True, is_caller_gone=lambda: next(answers)
        )
    assert host.leader.calls == 1


def test_evacuation_is_acknowledged_once_the_gateways_obey() -> None:
    host = _host()
    host.figures.on_figures('g', GatewayFigures(), 0)
    acknowledged = Event()

    def evacuate() -> None:  # noqa: WPS430
        host.change('a', is_evacuated=True)
        acknowledged.set()

    thread = Thread(target=evacuate)
    thread.start()
    assert not acknowledged.wait(0.1)
    host.figures.on_figures('g', GatewayFigures(evacuation_revision=1), 0)
    assert acknowledged.wait(_WAIT_S)
    thread.join()


def test_gateway_that_does_not_obey_delays_it_for_a_while_only(
    caplog: pytest.LogCaptureFixture,
) -> None:
    host = _host()
    host.figures.on_figures('g', GatewayFigures(), 0)
    with caplog.at_level('INFO'):
        host.change('a', is_evacuated=True)
    assert 'evacuation_unconfirmed' in caplog.text


def test_gateways_learn_the_zones_and_the_age_of_changes() -> None:
    host = _host()
    assert not host.shared(4).zones
    host.change('a', is_evacuated=True)
    host.shared(5)
    host.change('a', is_evacuated=False)
    host.change('b', is_evacuated=True)
    zones = host.shared(7)
    assert zones.revision == 3
    assert zones.zones['b'].is_evacuated
    assert not zones.zones['a'].is_evacuated
    assert host.shared(9).zones['a'].age_s == 2


def test_operators_begin_and_end_evacuations() -> None:
    host = _host()
    assert host.respond('Evacuations.Begin/a')[0] == 200
    assert host.state.evacuations.evacuated() == {'a'}
    for path in ('Evacuations.Finish/', 'Evacuations.Finish/a/b'):
        assert host.respond(path)[0] == 400
    assert host.respond('Evacuations.Finish/a', 'GET')[0] == 404
    assert host.state.evacuations.evacuated() == {'a'}
    assert host.respond('Evacuations.Finish/a')[0] == 200
    assert not host.state.evacuations.evacuated()


def test_command_is_not_committed_before_all_hosts_understand_it() -> None:
    """A host of the build before would skip it, and lose it if it leads."""
    clients = Mock()
    clients.call.side_effect = [
        {'ok': True},
        error_reply(CodecError('unknown request')),
        {'ok': True},
        UnavailableError('this host is down'),
    ]
    builds = MemberBuilds(FakeLog(CoordinatorState()), clients, Ports(7000))
    with pytest.raises(UnavailableError):
        builds.require_evacuations()
    builds.require_evacuations()
    builds.require_evacuations()
    assert clients.call.call_count == 4
