"""Requests of operators, gateways and other coordinators."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Final

from apricotcart.consensus.identity import host_name
from apricotcart.control.api import ReplicatedState
from apricotcart.coordinator.endpoint_list import EndpointList
from apricotcart.coordinator.endpoint_relay import EndpointRelay
from apricotcart.coordinator.hosts import GatewayTable
from apricotcart.coordinator.leader_client import LeaderClient
from apricotcart.coordinator.messages import (
    FETCH,
    KIND,
    REPLACE,
    SYNC,
    VERSIONS,
    VIEW,
    SyncReply,
    SyncRequest,
)
from apricotcart.coordinator.origin_records import OriginRecords
from apricotcart.coordinator.state import REPLACE as REPLACE_COMMAND
from apricotcart.coordinator.state import CoordinatorState
from apricotcart.desired.api import DocumentFormat
from apricotcart.desired.errors import (
    InvalidDesiredStateError,
    NoDesiredStateError,
)
from apricotcart.errors.tree import CodecError, NotLeaderError
from apricotcart.observability.decisions import (
    STATE_ACKNOWLEDGED,
    STATE_REFUSED,
    log_decision,
)
from apricotcart.timers.clock import SteadyUnixClock, boot_clock_s
from apricotcart.transport.api import RequestHandler, WireMessage

Answer = Callable[[WireMessage], WireMessage]
# Time limit of a commit.
_COMMIT_TIMEOUT_S: Final = 2.5
# Time limit for a quorum to confirm that this host leads.
_CONFIRM_TIMEOUT_S: Final = 0.7
# Time limits for the reply of the leader to a forwarded call. Reads have the
# shorter one, since operators try another host after a second.
_FORWARD_TIMEOUT_S: Final = 2.8
_FORWARD_READ_TIMEOUT_S: Final = 0.8


class DesiredStateService:
    """Replaces and reads the desired state on any host.

    Calls are forwarded to the leader if this host does not lead.

    Parameters
    ----------
    replicated : ReplicatedState
        Replicated log on this host.
    state : CoordinatorState
        State that the replicated log has applied.
    leader : LeaderClient
        Forwards calls to the leader.
    document_format : DocumentFormat
        Decodes and validates documents.
    """

    __slots__ = ('_format', '_leader', '_replicated', '_state')

    def __init__(
        self,
        replicated: ReplicatedState,
        state: CoordinatorState,
        leader: LeaderClient,
        document_format: DocumentFormat,
    ) -> None:
        self._replicated = replicated
        self._state = state
        self._leader = leader
        self._format = document_format

    def replace(self, document: bytes) -> int:
        """Commit a document; the highest version takes effect.

        Returns
        -------
        int
            Version of the document.

        Raises
        ------
        InvalidDesiredStateError
            If the document is invalid; nothing has changed.
        UnavailableError
            If the outcome is unknown.
        """
        version = self._validated_version(document)
        try:
            self.commit(version, document)
        except NotLeaderError as exc:
            self._update_leader(exc)
            message = {
                KIND: REPLACE,
                'version': version,
                'document': document,
            }
            self._leader.call(message, _FORWARD_TIMEOUT_S)
        log_decision(STATE_ACKNOWLEDGED, version=version)
        return version

    def fetch(self) -> bytes:
        """Return the newest document.

        Raises
        ------
        UnavailableError
            If no leader could confirm which document is the newest.
        NoDesiredStateError
            If there is no document yet.
        """
        try:
            document = self.read()
        except NotLeaderError as exc:
            self._update_leader(exc)
            reply = self._leader.call({KIND: FETCH}, _FORWARD_READ_TIMEOUT_S)
            document = reply['document']
        if not document:
            raise NoDesiredStateError('no desired state is known yet')
        return document

    def commit(self, version: int, document: bytes) -> None:
        """Commit a validated document on this host.

        Raises
        ------
        NotLeaderError
            If this host does not lead; nothing was committed.
        UnavailableError
            If the outcome is unknown.
        """
        self._replicated.propose(
            {'kind': REPLACE_COMMAND, 'version': version, 'document': document},
            _COMMIT_TIMEOUT_S,
        )

    def read(self) -> bytes:
        """Return the newest document if this host leads.

        Raises
        ------
        NotLeaderError, UnavailableError
            If this host does not lead, or no quorum confirms that it does.
        """
        self._replicated.barrier(_CONFIRM_TIMEOUT_S)
        return self._state.document

    def _validated_version(self, document: bytes) -> int:
        try:
            return self._format.decode(document).version
        except InvalidDesiredStateError as exc:
            log_decision(STATE_REFUSED, reason=exc.message)
            raise

    def _update_leader(self, exc: NotLeaderError) -> None:
        leader = str(exc.context.get('leader') or '')
        if not leader:
            leader = self._replicated.leader_name()
        self._leader.prefer(host_name(leader) if leader else '')


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
    ) -> None:
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
        self._replicated.barrier(_CONFIRM_TIMEOUT_S)
        now = boot_clock_s()
        self._gateways.on_sync(sync, now)
        mark, instances = self._endpoints.changes_since(sync.list_mark)
        is_newer = self._state.version > sync.version
        reply = SyncReply(
            document=self._state.document if is_newer else None,
            list_mark=mark,
            instances=instances,
            loads=self._gateways.loads_excluding(sync.incarnation, now),
            failing=self._gateways.failing_excluding(sync.incarnation, now),
            hosts=len(self._gateways.serving(now)),
            members=self._members(),
            unix_s=self._clock.now_s(),
            suspects=self._gateways.crash_suspects(now),
            software_versions=self._committed_versions(),
            rank=self._gateways.rank(sync.incarnation, now),
            ranked_hosts=self._gateways.ranked_hosts(now),
        )
        return {'ok': True, 'sync': reply.to_wire()}

    def _view(self, _: WireMessage) -> WireMessage:
        self._replicated.barrier(_CONFIRM_TIMEOUT_S)
        hosts = self._gateways.serving(boot_clock_s())
        return {
            'ok': True,
            'hosts': [host.to_wire() for host in hosts],
            'members': self._members(),
            'unix_s': self._clock.now_s(),
        }

    def _versions(self, _: WireMessage) -> WireMessage:
        self._replicated.barrier(_CONFIRM_TIMEOUT_S)
        return {'ok': True, 'software_versions': self._committed_versions()}

    def _committed_versions(self) -> dict[str, list[str]]:
        # Gateways begin streams that can be resumed only at committed
        # versions, so that no leader ever knows fewer than began any.
        versions = self._state.software_versions
        return {name: sorted(texts) for name, texts in versions.items()}

    def _members(self) -> list[str]:
        members: dict[str, Any] = self._replicated.status()['members']
        return [*members['voters'], *members['learners']]
