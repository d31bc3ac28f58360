"""Server process of a coordinator."""

from __future__ import annotations

import logging
import random
from pathlib import Path
from typing import Any, Final

import cherrypy

from apricotcart.consensus.config import NodeConfig
from apricotcart.consensus.members import Members
from apricotcart.consensus.messages import Message
from apricotcart.consensus.node import Node
from apricotcart.control.loop import ConsensusLoop
from apricotcart.control.receiver import PeerReceiver
from apricotcart.control.suspension import wait_for_room
from apricotcart.coordinator.addresses import ControlHosts, Ports
from apricotcart.coordinator.applied_states import AppliedStates
from apricotcart.coordinator.duties import DUTY_INTERVAL_S, Duties
from apricotcart.coordinator.endpoint_list import (
    FETCH_INTERVAL_S,
    EndpointList,
)
from apricotcart.coordinator.evacuation_figures import EvacuationFigures
from apricotcart.coordinator.evacuation_service import EvacuationService
from apricotcart.coordinator.figure_stores import build_stores
from apricotcart.coordinator.formation import load_or_create_identity
from apricotcart.coordinator.hosts import GatewayTable
from apricotcart.coordinator.joining import SeedJoiner
from apricotcart.coordinator.leader_client import (
    HOST_TIMEOUT_S,
    LeaderClient,
)
from apricotcart.coordinator.leader_tasks import (
    MEMBERS_INTERVAL_S,
    LeaderTasks,
)
from apricotcart.coordinator.member_builds import MemberBuilds
from apricotcart.coordinator.messages import KIND, VIEW, cluster_sealer
from apricotcart.coordinator.peer_links import RedialingPeerLinks
from apricotcart.coordinator.requests import CoordinatorRequests
from apricotcart.coordinator.services import DesiredStateService
from apricotcart.coordinator.state import CoordinatorState
from apricotcart.coordinator.state_copies import StateCopies
from apricotcart.coordinator.version_reports import VersionReports
from apricotcart.errors.tree import ApricotcartError
from apricotcart.membership.answers import ServingHost, ServingHostDirectory
from apricotcart.platform.adapter import PlatformAdapter
from apricotcart.process.fleet import FleetProcess
from apricotcart.settings.fleet import FleetConfig
from apricotcart.storage.log_store import DurableLogStore
from apricotcart.storage.real_disk import RealDisk
from apricotcart.timers.clock import SteadyUnixClock, boot_clock_s
from apricotcart.timers.repeating import RepeatingTimer
from apricotcart.transport.redialing import RedialingClients
from apricotcart.transport.requests import NngRequestServer
from apricotcart.web.server import (
    HttpAddress,
    ServerLimits,
    add_server,
    configure_engine,
)
from apricotcart.web.server_group import KILL_MARGIN_S, StopReason

_LOG = logging.getLogger(__name__)
# Time between two ticks of the consensus node.
_TICK_INTERVAL_S: Final = 0.02
RPC_WORKERS: Final = 96
_HTTP_THREADS: Final = 12
_MAX_HEADER_BYTES: Final = 32_768
_REQUEST_TIMEOUT_S: Final = 10.0
_VIEW_INTERVAL_S: Final = 0.4
_VIEW_TIMEOUT_S: Final = 0.8


class CoordinatorServer(FleetProcess):
    """Replicates the shared state and answers operators and gateways."""

    role = 'coordinator'

    def __init__(self, cfg: FleetConfig, adapter: PlatformAdapter) -> None:
        """Open the data folder and build the components.

        Raises
        ------
        StorageError
            If the data folder cannot be used.
        """
        super().__init__(cfg, adapter)
        self._ports = Ports(cfg.links.first_port)
        self._sealer = cluster_sealer()
        self._clock = SteadyUnixClock.from_host()
        self._state = CoordinatorState()
        self._gateways = GatewayTable()
        self._directory = ServingHostDirectory(cfg.bounds.answer_ttl_max_s)
        self._build_consensus()
        self._build_services()

    def _stop(self, stop_at: float) -> StopReason:
        # The log goes on meanwhile, so that changes are acknowledged.
        deadline = stop_at + self._cfg.bounds.stop_s - KILL_MARGIN_S
        reason = self._servers.finish(deadline)
        self._rpc.finish(max(0, deadline - boot_clock_s()))
        self._loop.stop()
        return reason

    def _build_consensus(self) -> None:
        cfg = self._cfg
        rng = random.SystemRandom()
        disk = wait_for_room(lambda: RealDisk(Path(str(cfg.data.folder))))
        identity = wait_for_room(
            lambda: load_or_create_identity(disk, cfg, rng)
        )
        self._node_id = identity.node_id
        node = Node.from_config(
            # A new leader waits for a lease before it calls the platform, so
            # voters need no guard after a restart. All hosts may restart at
            # once, and no request is served before a leader is elected.
            NodeConfig(node_id=identity.node_id, guards_restart=False),
            DurableLogStore(disk),
            self._state,
            rng,
        )
        self._hosts = ControlHosts(self._ports)
        self._hosts.replace_seeds(cfg.links.seeds)
        self._links = RedialingPeerLinks(
            cfg.host.address,
            self._ports,
            self._sealer,
        )
        self._loop = ConsensusLoop(
            node,
            self._links,
            self._hosts,
            _TICK_INTERVAL_S,
            self._on_failed,
        )
        self._joiner = SeedJoiner(
            identity.node_id,
            self._loop,
            self._links,
            self._hosts,
        )
        self._receiver = PeerReceiver(
            self._links,
            self._deliver,
            self._joiner.on_join_request,
        )

    def _build_services(self) -> None:
        cfg = self._cfg
        platform = self._adapter.platform_client(cfg.platform.address)
        self._clients = RedialingClients(self._sealer)
        self._leader = LeaderClient.from_seeds(
            self._ports, self._clients, cfg.links.seeds
        )
        copies = StateCopies()
        self._service = DesiredStateService(
            self._loop,
            self._state,
            self._leader,
            self._adapter.document_format(),
            copies,
        )
        confirmed = StateCopies()
        self._evacuations = EvacuationService(
            replicated=self._loop,
            leader=self._leader,
            builds=MemberBuilds(self._loop, self._clients, self._ports),
            confirmed=confirmed,
            zones=cfg.platform.zones or (),
        )
        self._endpoints = EndpointList(platform)
        self._tasks = LeaderTasks(self._loop, self._state, self._endpoints)
        self._requests = CoordinatorRequests(
            replicated=self._loop,
            state=self._state,
            service=self._service,
            gateways=self._gateways,
            endpoints=self._endpoints,
            clock=self._clock,
            copies=copies,
            figures=build_stores(
                self._state,
                EvacuationFigures(self._state.evacuations, confirmed),
            ),
            evacuations=self._evacuations,
            handlers={
                **AppliedStates(
                    self._node_id, self._loop, self._state
                ).handlers(),
                **VersionReports(self._loop, copies).handlers(),
            },
        )
        self._duties = Duties(
            name=cfg.host.name,
            loop=self._loop,
            state=self._state,
            platform=platform,
            gateways=self._gateways,
            endpoints=self._endpoints,
            document_format=self._adapter.document_format(),
            clock=self._clock,
            bounds=cfg.bounds,
        )

    def _start(self) -> None:
        self._loop.start()
        self._receiver.start()
        self._joiner.start()
        self._rpc = NngRequestServer(
            self._ports.request_address(self._cfg.host.address),
            self._requests,
            self._sealer,
            RPC_WORKERS,
        ).start()
        timers = (
            ('view', _VIEW_INTERVAL_S, self._refresh_view),
            ('members', MEMBERS_INTERVAL_S, self._tasks.maintain_members),
            ('endpoints', FETCH_INTERVAL_S, self._tasks.fetch_endpoints),
            ('duties', DUTY_INTERVAL_S, self._duties.run),
        )
        for name, interval_s, task in timers:
            RepeatingTimer(name, interval_s, _log_expected_errors(task)).start()
        self._serve()

    def _serve(self) -> None:
        configure_engine()
        listen = self._cfg.listen
        limits = ServerLimits(
            threads=_HTTP_THREADS,
            max_header_bytes=_MAX_HEADER_BYTES,
            header_timeout_s=_REQUEST_TIMEOUT_S,
            body_timeout_s=_REQUEST_TIMEOUT_S,
            body_memory=self._body_memory,
            head_memory=self._head_memory,
            response_memory=self._response_memory,
        )
        operators = self._adapter.operator_app(self._service, self._evacuations)
        directory = self._adapter.directory_app(self._directory)
        for address, app in (
            (listen.operators, operators),
            (listen.directory, directory),
        ):
            server = add_server(
                HttpAddress.from_host_port(address), limits, app
            )
            self._servers.add(server.httpserver)
        cherrypy.engine.start()

    def _deliver(self, message: Message) -> None:
        self._joiner.on_message(message)
        self._loop.deliver(message)

    def _refresh_view(self) -> None:
        status = self._loop.status()
        members = Members.from_wire(status['members'])
        self._hosts.replace_members(members.all_members)
        self._leader.replace_members(members.all_members)
        if self._tasks.leads():
            self._directory.replace(self._gateways.serving(boot_clock_s()))
            return
        reply = self._leader.call({KIND: VIEW}, _VIEW_TIMEOUT_S, HOST_TIMEOUT_S)
        self._directory.replace(
            ServingHost.from_wire(host) for host in reply['hosts']
        )
        self._clock.synchronize(reply['unix_s'])

    def _on_failed(self) -> None:
        _LOG.error('the replicated log has failed; stopping the process')
        self.fail()


def _log_expected_errors(task: Any) -> Any:
    """Wrap a task to log errors, which are expected without a leader."""

    def run() -> None:  # noqa: WPS430
        try:
            task()
        except ApricotcartError as exc:
            _LOG.info('%s: %s', task.__name__, exc.message)

    return run
