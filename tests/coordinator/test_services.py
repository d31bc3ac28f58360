"""Guards against acknowledgements and reads without a confirmed leader."""

from __future__ import annotations

from threading import Event, Thread
from time import monotonic, sleep
from typing import Any
from unittest.mock import Mock

import pytest

from apricotcart.codec.packing import pack, unpack
from apricotcart.control.api import ReplicatedState
from apricotcart.coordinator.endpoint_list import EndpointList
from apricotcart.coordinator.exchange_messages import GatewayFigures
from apricotcart.coordinator.hosts import GatewayTable
from apricotcart.coordinator.messages import (
    KIND,
    SYNC,
    TERM,
)
from apricotcart.coordinator.requests import CoordinatorRequests
from apricotcart.coordinator.services import DesiredStateService
from apricotcart.coordinator.shared_figures import FigureStores
from apricotcart.coordinator.state import CoordinatorState
from apricotcart.coordinator.state_copies import StateCopies
from apricotcart.coordinator.sync_messages import (
    ANY_VERSION,
    SyncRequest,
    read_reply,
)
from apricotcart.desired.api import DocumentFormat
from apricotcart.desired.errors import (
    InvalidDesiredStateError,
    NoDesiredStateError,
)
from apricotcart.desired.records import CallerLimits, DesiredState
from apricotcart.errors.tree import (
    ApricotcartError,
    NotLeaderError,
    UnavailableError,
)
from apricotcart.timers.clock import SteadyUnixClock

_WAIT_S = 5
# Longest acknowledgement while a gateway does not sync, in seconds.
_BOUNDED_WAIT_S = 0.8
# Time after which such a gateway is not waited for, in seconds.
_FORGOTTEN_AFTER_S = 1.2


class VersionFormat(DocumentFormat):
    """Format whose documents consist of the version in digits."""

    def decode(self, blob: bytes) -> DesiredState:
        if not blob.isdigit():
            raise InvalidDesiredStateError('document is not a number')
        return DesiredState(
            version=int(blob),
            routes=[],
            services=[],
            limits=CallerLimits(
                header_bytes=1,
                body_bytes=1,
                header_timeout_s=1,
                idle_timeout_s=1,
            ),
            customers=None,
        )


class FakeLog(ReplicatedState):
    """Log that commits at once, or raises ``error`` if it is set."""

    def __init__(self) -> None:
        self.state = CoordinatorState()
        self.error: ApricotcartError | None = None

    def propose(self, command: Any, timeout_s: float) -> Any:
        self.barrier(timeout_s)
        return unpack(self.state.apply(1, pack(command)))

    def barrier(self, timeout_s: float, *, is_settled: bool = False) -> None:
        if self.error:
            raise self.error

    def lease_until(self) -> float:
        return 0

    def leader_name(self) -> str:
        return '10.0.0.2'

    def status(self) -> Any:
        members = {'voters': ['10.0.0.1.0'], 'learners': []}
        return {'term': 3, 'members': members}


class FakeLeaderClient:
    """Records forwarded calls."""

    def __init__(self) -> None:
        self.hints: list[str] = []
        self.calls: list[Any] = []
        self.failure: ApricotcartError | None = None

    def follow_hint(self, exc: NotLeaderError) -> None:
        self.hints.append(exc.context.get('leader', ''))

    def call_until_answered(
        self, message: Any, timeout_s: float, host_timeout_s: float
    ) -> Any:
        return self.call(message, timeout_s, host_timeout_s)

    def call(
        self, message: Any, timeout_s: float, host_timeout_s: float
    ) -> Any:
        self.calls.append(message)
        if self.failure:
            raise self.failure
        return {'ok': True, 'document': b'9'}


@pytest.fixture
def log() -> FakeLog:
    """Return the log of a leader."""
    return FakeLog()


@pytest.fixture
def leader() -> FakeLeaderClient:
    """Return the client of another leader."""
    return FakeLeaderClient()


@pytest.fixture
def copies() -> StateCopies:
    """Return the copies of no gateway."""
    return StateCopies()


@pytest.fixture
def service(
    log: FakeLog, leader: FakeLeaderClient, copies: StateCopies
) -> DesiredStateService:
    """Return the service of one host."""
    client: Any = leader
    return DesiredStateService(log, log.state, client, VersionFormat(), copies)


def test_replace_invalid_is_never_committed(
    service: DesiredStateService,
    log: FakeLog,
) -> None:
    with pytest.raises(InvalidDesiredStateError):
        service.replace(b'7x')
    assert log.state.version == -1


def test_replace_resent_is_acknowledged_again(
    service: DesiredStateService,
    log: FakeLog,
) -> None:
    assert [service.replace(blob) for blob in (b'7', b'8', b'7')] == [7, 8, 7]
    assert service.fetch() == b'8'


def test_replace_is_forwarded_to_the_leader(
    service: DesiredStateService,
    log: FakeLog,
    leader: FakeLeaderClient,
) -> None:
    log.error = NotLeaderError('no', leader='10.0.0.3.0')
    assert service.replace(b'7') == 7
    assert leader.hints == ['10.0.0.3.0']
    assert leader.calls[0]['document'] == b'7'


def test_replace_without_quorum_is_not_acknowledged(
    service: DesiredStateService,
    log: FakeLog,
    leader: FakeLeaderClient,
) -> None:
    log.error = UnavailableError('no quorum')
    with pytest.raises(UnavailableError):
        service.replace(b'7')
    log.error = NotLeaderError('no')
    leader.failure = UnavailableError('no answer')
    with pytest.raises(UnavailableError):
        service.replace(b'7')


def test_fetch_needs_a_confirmed_leader(
    service: DesiredStateService,
    log: FakeLog,
    leader: FakeLeaderClient,
) -> None:
    """A partitioned host must not answer from its own copy."""
    service.replace(b'7')
    log.error = UnavailableError('partitioned')
    with pytest.raises(UnavailableError):
        service.fetch()
    log.error = NotLeaderError('no')
    assert service.fetch() == b'9'


def test_fetch_without_a_desired_state(service: DesiredStateService) -> None:
    with pytest.raises(NoDesiredStateError):
        service.fetch()


def test_change_is_acknowledged_once_the_gateways_have_it(
    service: DesiredStateService,
    copies: StateCopies,
) -> None:
    """Guards against a leader that stops between the two.

    Gateways would obey the older version until they find the next leader.
    """
    copies.update('a', 6)
    copies.update('b', 6)
    acknowledged = Event()

    def replace() -> None:  # noqa: WPS430
        service.replace(b'7')
        acknowledged.set()

    thread = Thread(target=replace)
    thread.start()
    copies.update('a', 7)
    assert not acknowledged.wait(0.1)
    copies.update('b', 8)
    assert acknowledged.wait(_WAIT_S)
    thread.join()


def test_gateway_that_stops_syncing_does_not_hold_up_changes(
    service: DesiredStateService,
    copies: StateCopies,
    caplog: pytest.LogCaptureFixture,
) -> None:
    copies.update('a', 6)
    started_at = monotonic()
    with caplog.at_level('INFO'):
        assert service.replace(b'7') == 7
    assert monotonic() < started_at + _BOUNDED_WAIT_S
    assert 'copies_outdated' in caplog.text
    while monotonic() < started_at + _FORGOTTEN_AFTER_S:
        sleep(0.05)
    started_at = monotonic()
    service.replace(b'8')
    assert monotonic() < started_at + 0.2


def test_sync_brings_the_copy_of_a_gateway_up_to_date(
    service: DesiredStateService, log: FakeLog, copies: StateCopies
) -> None:
    service.replace(b'7')
    requests = _requests(service, log, copies)
    copies.update('a', 6)
    reply = requests.answer({KIND: SYNC, **_sync(6).to_wire()})
    assert reply['sync']['document'] == b'7'
    assert reply[TERM] == 3
    assert copies.wait_for(7, 0) == 0
    assert copies.wait_for(8, 0) == 1


def test_gateway_that_fetches_counts_with_what_it_really_has(
    service: DesiredStateService, log: FakeLog, copies: StateCopies
) -> None:
    """Guards against acknowledging a change whose transfer has only begun."""
    service.replace(b'7')
    requests = _requests(service, log, copies)
    fetching = GatewayFigures(
        fetches_state=True, reads_deflated=True, state_version=6
    )
    sync = _sync(6)
    sync.exchange = fetching.to_wire()
    reply = read_reply(requests.answer({KIND: SYNC, **sync.to_wire()}))
    assert reply.document is None
    assert copies.wait_for(7, 0) == 1
    sync.version = 7
    requests.answer({KIND: SYNC, **sync.to_wire()})
    assert copies.wait_for(7, 0) == 0


def test_first_sync_of_a_gateway_brings_and_counts_nothing(
    service: DesiredStateService, log: FakeLog, copies: StateCopies
) -> None:
    """Neither the document nor the list of endpoints fits a slow link."""
    service.replace(b'7')
    requests = _requests(service, log, copies)
    message = {KIND: SYNC, **_sync(ANY_VERSION).to_wire()}
    reply = read_reply(requests.answer(message))
    assert reply.document is None
    assert reply.instances is None
    assert copies.wait_for(8, 0) == 0


def _requests(
    service: DesiredStateService, log: FakeLog, copies: StateCopies
) -> CoordinatorRequests:
    return CoordinatorRequests(
        figures=FigureStores(()),
        evacuations=Mock(handlers=dict),
        handlers={},
        replicated=log,
        state=log.state,
        service=service,
        gateways=GatewayTable(),
        endpoints=EndpointList(Mock()),
        clock=SteadyUnixClock.from_host(),
        copies=copies,
    )


def _sync(version: int) -> SyncRequest:
    return SyncRequest(
        host='g',
        incarnation='a',
        address='g:80',
        zone='z',
        is_serving=True,
        version=version,
        list_mark=0,
        loads={},
        waiting={},
        usage={},
    )
