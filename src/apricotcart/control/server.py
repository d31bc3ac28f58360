"""Server process of a control host."""

from __future__ import annotations

import logging
import random
from pathlib import Path
from typing import Self

import cherrypy

from apricotcart.codec.envelope import Sealer
from apricotcart.consensus.config import NodeConfig
from apricotcart.consensus.node import Node
from apricotcart.control.duties import DutyRunner
from apricotcart.control.duty_plan import DutyPlan
from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.gauges import ControlGauges
from apricotcart.control.joining import Joiner
from apricotcart.control.loop import ConsensusLoop
from apricotcart.control.machine import ReplicatedMachine
from apricotcart.control.operators import OperatorApplication
from apricotcart.control.platform_views import CommittedFleet
from apricotcart.control.receiver import PeerReceiver
from apricotcart.control.reports import Reports
from apricotcart.control.rpc import ControlRequests
from apricotcart.control.slot_division import DIVISION_INTERVAL_S, SlotDivider
from apricotcart.control.suspension import wait_for_room
from apricotcart.process.api import ServerProcess
from apricotcart.settings.control import ControlConfig
from apricotcart.storage.identity import open_identity
from apricotcart.storage.log_store import DurableLogStore
from apricotcart.storage.real_disk import RealDisk
from apricotcart.timers.clock import boot_clock_s
from apricotcart.timers.repeating import RepeatingTimer
from apricotcart.transport.peers import NngPeerLinks
from apricotcart.transport.requests import NngRequestServer
from apricotcart.transport.tls import TlsFiles, cluster_dns_name
from apricotcart.web.server import (
    HttpAddress,
    ServerLimits,
    add_server,
    configure_engine,
    mount,
)

_LOG = logging.getLogger(__name__)
# Each sync occupies a worker for a round of heartbeats, so this limits the
# number of concurrent syncs.
_RPC_WORKERS = 48
_HTTP_THREADS = 24
_MAX_HEADER_BYTES = 32_768
_REQUEST_TIMEOUT_S = 10.0


class ControlServer(ServerProcess):
    """Runs the replicated state, the RPC server and the operator API."""

    service = 'control'

    def __init__(self, cfg: ControlConfig) -> None:
        """Open the data folder and build the components.

        Raises
        ------
        StorageError
            If the data folder cannot be used.
        """
        super().__init__(cfg)
        self._cfg = cfg
        self._duties: DutyRunner | None = None
        self._sealer = Sealer(cfg.cluster.read_secret())
        self._tls = _tls_files(cfg)
        self._machine = ReplicatedMachine()
        self._hosts = EntryHosts(boot_clock_s())
        self._build_consensus()

    @classmethod
    def from_config(cls, cfg: ControlConfig) -> Self:
        """Build the server from validated settings."""
        return cls(cfg)

    def _build_consensus(self) -> None:
        cfg = self._cfg
        rng = random.SystemRandom()
        disk = wait_for_room(lambda: RealDisk(Path(cfg.data.folder)))
        identity = wait_for_room(
            lambda: open_identity(disk, cfg.host.name, rng)
        )
        node = Node.from_config(
            NodeConfig(
                node_id=identity.node_id,
                snapshot_every=cfg.timing.snapshot_entries,
            ),
            DurableLogStore(disk),
            self._machine,
            rng,
        )
        self._links = NngPeerLinks(cfg.peers.listen, self._sealer, self._tls)
        self._loop = ConsensusLoop(
            node,
            self._links,
            cfg.peers.voters,
            cfg.timing.tick_interval_s,
            self._on_failed,
        )
        self._joiner = Joiner(
            identity.node_id,
            self._loop,
            self._links,
            cfg.peers.voters,
        )
        self._receiver = PeerReceiver(
            self._links,
            self._loop.deliver,
            self._joiner.on_join_request,
        )

    def _start(self) -> None:
        cfg = self._cfg
        state = self._machine.state
        self._loop.start()
        self._receiver.start()
        self._joiner.start()
        self._requests = ControlRequests(
            self._loop,
            state,
            self._hosts,
            self._telemetry,
        )
        self._rpc = NngRequestServer(
            cfg.rpc.listen,
            self._requests,
            self._sealer,
            _RPC_WORKERS,
            self._tls,
        ).start()
        divider = SlotDivider(self._loop, state, self._hosts)
        self._divider = RepeatingTimer(
            'division',
            DIVISION_INTERVAL_S,
            divider.run,
        )
        self._divider.start()
        self._start_duties()
        gauges = ControlGauges(self._telemetry.metrics, self._loop, self._hosts)
        self._telemetry.metrics.add_scrape_hook(gauges.update)
        self._serve_operators()

    def _start_duties(self) -> None:
        if self._cfg.platform.url is None:
            return
        state = self._machine.state
        fleet_view = CommittedFleet(self._loop, state, self._hosts)
        plan = DutyPlan(self._cfg, self._loop, state, fleet_view, self._hosts)
        self._duties = DutyRunner(self._cfg.platform.url, plan, self._loop)
        self._duties.start()

    def _serve_operators(self) -> None:
        cfg = self._cfg
        configure_engine()
        mount(
            OperatorApplication(
                self._loop,
                self._machine.state,
                cfg.operators.read_token(),
                Reports(self._loop, self._machine.state, self._hosts),
            ),
        )
        add_server(
            HttpAddress(
                host=cfg.host.address,
                port=cfg.host.api_port,
                cert=cfg.tls.cert,
                key=cfg.tls.key,
            ),
            ServerLimits(
                threads=_HTTP_THREADS,
                max_header_bytes=_MAX_HEADER_BYTES,
                header_timeout_s=_REQUEST_TIMEOUT_S,
                body_timeout_s=_REQUEST_TIMEOUT_S,
            ),
        )
        cherrypy.engine.start()

    def _stop(self) -> None:
        if self._duties is not None:
            self._duties.stop()
        self._divider.stop()
        # The log goes on until operators and entry hosts have their answers.
        cherrypy.engine.exit()
        self._rpc.finish(_REQUEST_TIMEOUT_S)
        self._joiner.stop()
        self._receiver.stop()
        self._rpc.close()
        self._loop.stop()
        self._links.close()

    def _on_failed(self) -> None:
        _LOG.error('the replicated log has failed; stopping the process')
        self.fail()


def _tls_files(cfg: ControlConfig) -> TlsFiles | None:
    tls = cfg.tls
    if tls.cert and tls.key and tls.ca:
        return TlsFiles(
            cert=tls.cert,
            key=tls.key,
            ca=tls.ca,
            name=cluster_dns_name(cfg.cluster.name),
        )
    return None
