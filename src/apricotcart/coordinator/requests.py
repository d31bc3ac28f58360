"""Requests of gateways and of other coordinators."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Any

from apricotcart.control.api import ReplicatedState
from apricotcart.coordinator.endpoint_list import EndpointList, WireList
from apricotcart.coordinator.endpoint_relay import EndpointRelay
from apricotcart.coordinator.evacuation_service import EvacuationService
from apricotcart.coordinator.hosts import GatewayTable
from apricotcart.coordinator.messages import (
    FETCH,
    KIND,
    REPLACE,
    SYNC,
    TERM,
    UNDERSTOOD,
    VERSIONS,
    VIEW,
)
from apricotcart.coordinator.origin_records import OriginRecords
from apricotcart.coordinator.services import (
    CONFIRM_TIMEOUT_S,
    DesiredStateService,
)
from apricotcart.coordinator.shared_figures import FigureStores
from apricotcart.coordinator.state import CoordinatorState
from apricotcart.coordinator.state_copies import StateCopies
from apricotcart.coordinator.state_transfer import (
    CommittedBlocks,
    StateTransfer,
)
from apricotcart.coordinator.sync_messages import (
    ANY_VERSION,
    SyncReply,
    SyncRequest,
    wire_reply,
)
from apricotcart.errors.tree import CodecError
from apricotcart.timers.clock import SteadyUnixClock, boot_clock_s
from apricotcart.transport.api import RequestHandler, WireMessage

Answer = Callable[[WireMessage], WireMessage]


class CoordinatorRequests(RequestHandler):
    """Handles requests of gateways and of other coordinators.

    Parameters
    ----------
    replicated : ReplicatedState
        Replicated log on this host.
    state : CoordinatorState
        State that the replicated log has applied.
    service : DesiredStateService
        Replaces and reads the desired state.
    gateways : GatewayTable
        Table that syncs update.
    endpoints : EndpointList
        Cached list of endpoints.
    clock : SteadyUnixClock
        Clock for Unix time.
    copies : StateCopies
        Learns which version each sync leaves at a gateway.
    figures : FigureStores
        Figures that gateways share.
    evacuations : EvacuationService
        Begins and ends evacuations of zones.
    handlers : mapping
        Functions that answer other kinds of requests.
    """

    def __init__(
        self,
        *,
        replicated: ReplicatedState,
        state: CoordinatorState,
        service: DesiredStateService,
        gateways: GatewayTable,
        endpoints: EndpointList,
        clock: SteadyUnixClock,
        copies: StateCopies,
        figures: FigureStores,
        evacuations: EvacuationService,
        handlers: Mapping[str, Answer],
    ) -> None:
        # Threads that answer syncs take turns here once, and not at each of the
        # tables: there, every turn would also cost a switch between threads.
        self._joining = threading.Lock()
        self._figures = figures
        self._copies = copies
        self._replicated = replicated
        self._state = state
        self._service = service
        self._gateways = gateways
        self._endpoints = endpoints
        self._clock = clock
        self._answers: Mapping[str, Answer] = {
            SYNC: self._sync,
            VIEW: self._view,
            REPLACE: self._replace,
            FETCH: self._fetch,
            VERSIONS: self._versions,
            **OriginRecords().handlers(),
            **EndpointRelay(endpoints).handlers(),
            **evacuations.handlers(),
            **handlers,
            **StateTransfer(CommittedBlocks(state)).handlers(),
        }

    def answer(self, message: WireMessage) -> WireMessage:
        """Return the reply to one request.

        Raises
        ------
        NotLeaderError, UnavailableError
            If this host does not lead, or no quorum confirms that it does.
        CodecError
            If the kind of the request is unknown.
        """
        kind = message.pop(KIND, '')
        answer = self._answers.get(kind)
        if answer is None:
            raise CodecError(f'unknown request {kind!r}')
        return answer(message)

    def _replace(self, message: WireMessage) -> WireMessage:
        self._service.commit(message['version'], message['document'])
        return {'ok': True}

    def _fetch(self, _: WireMessage) -> WireMessage:
        return {'ok': True, 'document': self._service.read()}

    def _sync(self, message: WireMessage) -> WireMessage:
        sync = SyncRequest.from_wire(message)
        # A leader that was replaced without noticing could send old state.
        self._replicated.barrier(CONFIRM_TIMEOUT_S)
        with self._joining:
            return self._join_and_reply(sync)

    def _join_and_reply(self, sync: SyncRequest) -> WireMessage:
        now = boot_clock_s()
        self._gateways.on_sync(sync, now)
        mark, instances = self._list_for(sync)
        counts = self._gateways.counts(now)
        reply = SyncReply(
            document=self._document_for(sync),
            list_mark=mark,
            list_age_s=self._endpoints.age_s(),
            instances=instances,
            loads=self._gateways.loads_excluding(sync.incarnation, now),
            failing=self._gateways.failing_excluding(sync.incarnation, now),
            hosts=counts.serving,
            members=self._members(),
            unix_s=self._clock.now_s(),
            suspects=self._gateways.crash_suspects(now),
            software_versions=self._committed_versions(),
            rank=self._gateways.rank(sync.incarnation, now),
            ranked_hosts=counts.ranked,
            reachability=self._gateways.reach_reply(sync.incarnation, now),
            exchange=self._figures.exchange(
                sync.incarnation, sync.exchange, now
            ),
        )
        return {
            'ok': True,
            TERM: self._term(),
            **UNDERSTOOD,
            **wire_reply(sync, reply),
        }

    def _list_for(self, sync: SyncRequest) -> tuple[int, WireList | None]:
        # The next sync, whose reply is compressed, follows at once.
        if sync.version == ANY_VERSION:
            return 0, None
        return self._endpoints.changes_since(sync.list_mark)

    def _document_for(self, sync: SyncRequest) -> bytes | None:
        """Return the state if it is newer than what a gateway has.

        Gateways that fetch it in blocks get none.
        """
        if sync.version == ANY_VERSION:
            return None
        version = self._state.version
        if (sync.exchange or {}).get('fetches_state'):
            self._copies.update(sync.incarnation, sync.version)
            return None
        # An earlier build applies what the reply brings.
        self._copies.update(sync.incarnation, max(version, sync.version))
        return self._state.document if version > sync.version else None

    def _view(self, _: WireMessage) -> WireMessage:
        self._replicated.barrier(CONFIRM_TIMEOUT_S)
        hosts = self._gateways.serving(boot_clock_s())
        return {
            'ok': True,
            TERM: self._term(),
            'hosts': [host.to_wire() for host in hosts],
            'members': self._members(),
            'unix_s': self._clock.now_s(),
        }

    def _versions(self, _: WireMessage) -> WireMessage:
        self._replicated.barrier(CONFIRM_TIMEOUT_S)
        return {
            'ok': True,
            TERM: self._term(),
            'software_versions': self._committed_versions(),
        }

    def _committed_versions(self) -> dict[str, list[str]]:
        # Gateways begin streams that can be resumed only at committed
        # versions, so that no leader ever knows fewer than began any.
        versions = self._state.software_versions
        return {name: sorted(texts) for name, texts in versions.items()}

    def _term(self) -> int:
        term: int = self._replicated.status()['term']
        return term

    def _members(self) -> list[str]:
        members: dict[str, Any] = self._replicated.status()['members']
        return [*members['voters'], *members['learners']]
