"""Gateway process, which serves callers over HTTP."""

from __future__ import annotations

import logging
import random
from typing import Any, Final

import cherrypy

from apricotcart.coordinator.addresses import Ports
from apricotcart.coordinator.any_host_client import AnyHostClient
from apricotcart.coordinator.leader_client import LeaderClient
from apricotcart.coordinator.messages import cluster_sealer
from apricotcart.gateway.application import GatewayApplication
from apricotcart.gateway.crash_quarantine import CrashQuarantine
from apricotcart.gateway.dispatching.dispatcher import (
    TICK_INTERVAL_S,
    Dispatcher,
)
from apricotcart.gateway.dispatching.endpoint_updates import (
    CHECK_INTERVAL_S,
    EndpointUpdater,
)
from apricotcart.gateway.dispatching.list_relay import ControlHostRelay
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.endpoint_upstream import EndpointUpstream
from apricotcart.gateway.evacuated_zones import ZoneObserver
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.figure_users import build_exchange
from apricotcart.gateway.hedging.assembly import Hedging
from apricotcart.gateway.link import ControlLink
from apricotcart.gateway.listener import (
    CallerConnection,
    CallerGateway,
    GrowingThreadPool,
)
from apricotcart.gateway.quorum_check import QuorumCheck
from apricotcart.gateway.reachability.monitor import ReachMonitor
from apricotcart.gateway.reachability.probe import PROBE_CHECK_S, ReachProbe
from apricotcart.gateway.reachability.probe_plan import ProbePlan
from apricotcart.gateway.reachability.sync import SyncedReach
from apricotcart.gateway.relay.assembly import Relay
from apricotcart.gateway.retry_policy import RetryPolicy
from apricotcart.gateway.sender import Sender
from apricotcart.gateway.state import StateCopy
from apricotcart.gateway.state_parts import StateParts
from apricotcart.gateway.stop_state import StopState
from apricotcart.gateway.stopping import stop_calls
from apricotcart.gateway.stream_resumption import StreamResumption
from apricotcart.gateway.usage import UsageCounter
from apricotcart.gateway.watcher import CallerWatcher
from apricotcart.membership.answers import ANSWER_TTL_S
from apricotcart.membership.peers import PeerDirectory
from apricotcart.platform.adapter import PlatformAdapter
from apricotcart.process.fleet import FleetProcess
from apricotcart.resumption.record_store import ControlHostStore
from apricotcart.resumption.stream_origins import (
    STORE_INTERVAL_S,
    StreamOrigins,
)
from apricotcart.resumption.version_source import LeaderVersionSource
from apricotcart.settings.fleet import FleetConfig
from apricotcart.timers.clock import SteadyUnixClock
from apricotcart.timers.repeating import RepeatingTimer
from apricotcart.transport.redialing import RedialingClients
from apricotcart.web.server import (
    HttpAddress,
    ServerLimits,
    add_server,
    configure_engine,
)
from apricotcart.web.server_group import StopReason

_LOG = logging.getLogger(__name__)
# Initial number of threads; more are started while all are busy.
_THREADS: Final = 24
# Maximum number of requests in progress and connections being read.
_THREADS_MAX: Final = 800
# The same for requests that other gateways pass on, which are rare.
_RELAY_THREADS: Final = 2
# Maximum size of a ticket, on top of the headers of a caller.
_MAX_TICKET_BYTES: Final = 4096
_READINESS_THREADS: Final = 2
_MAX_HEADER_BYTES: Final = 65_536
_HEADER_TIMEOUT_S: Final = 3.0
_BODY_TIMEOUT_S: Final = 10.0
# Must exceed 12 s, since callers reuse connections that were idle that long.
_IDLE_TIMEOUT_S: Final = 18
# Maximum number of idle connections of callers that stay open.
_KEEP_ALIVE_MAX: Final = 3000


class GatewayServer(FleetProcess):
    """Gateway process that forwards the requests of callers."""

    role = 'gateway'

    def __init__(self, cfg: FleetConfig, adapter: PlatformAdapter) -> None:
        super().__init__(cfg, adapter)
        self._stop_state = StopState()
        self._clock = SteadyUnixClock.from_host()
        placement = Placement(cfg.host.zone, cfg.host.name)
        self._dispatcher = Dispatcher(placement, random.Random())
        self._zones = ZoneObserver(
            self._dispatcher,
            placement.evacuations,
            cfg.bounds.evacuation_lease_s,
        )
        self._state = StateCopy(
            adapter.document_format(),
            cfg.bounds.state_lease_s,
            cfg.bounds.state_apply_s,
        )
        self._watcher = CallerWatcher()
        self._clients = RedialingClients(cluster_sealer())
        self._build_reachability()
        self._build_sender()

    def _stop(self, stop_at: float) -> StopReason:
        self._hedging.stop()
        return stop_calls(
            self._stop_state,
            self._servers,
            stop_at,
            self._cfg.bounds.stop_s,
            ANSWER_TTL_S,
        )

    def _build_reachability(self) -> None:
        address = self._cfg.host.address
        relay_port = self._cfg.links.last_port
        self._reach = ReachMonitor()
        self._peers = PeerDirectory()
        self._synced_reach = SyncedReach(
            self._reach, self._peers, f'{address}:{relay_port}'
        )
        self._probe = ReachProbe(
            self._reach,
            ProbePlan(self._reach, random.Random()),
            self._listed_addresses,
            self._forget_failures,
        )

    def _build_sender(self) -> None:
        cfg = self._cfg
        bounds = cfg.bounds
        self._pool = ConnectionPool(self._reach)
        self._retry_policy = RetryPolicy(
            bounds.budget_ratio, bounds.budget_extra
        )
        self._usage = UsageCounter(self._clock, bounds.usage_window_s)
        self._quarantine = CrashQuarantine()
        ports = Ports(cfg.links.first_port)
        leader = LeaderClient.from_seeds(ports, self._clients, cfg.links.seeds)
        any_host = AnyHostClient(ports, self._clients)
        self._state_parts = StateParts(
            cfg,
            self._state,
            self._dispatcher,
            any_host,
            on_adopted=lambda: self._link.tell_version(),
        )
        self._quorum_check = QuorumCheck(
            any_host, self._state, self._state_parts.fetch
        )
        self._origins = StreamOrigins(
            ControlHostStore(any_host), LeaderVersionSource(leader)
        )
        self._upstream = EndpointUpstream(
            dispatcher=self._dispatcher,
            pool=self._pool,
            header_codec=self._adapter.header_codec(),
            retry_policy=self._retry_policy,
            usage=self._usage,
            quarantine=self._quarantine,
            origins=self._origins,
            response_memory=self._response_memory,
        )
        self._hedging = Hedging(cfg)
        self._build_relay()
        self._endpoints = EndpointUpdater(
            self._adapter.platform_client(cfg.platform.address),
            ControlHostRelay(any_host),
            self._dispatcher,
            self._pool,
            cfg.platform.list_lag_s,
        )
        self._link = ControlLink(
            cfg=cfg,
            leader=leader,
            state=self._state,
            dispatcher=self._dispatcher,
            endpoints=self._endpoints,
            retry_policy=self._retry_policy,
            usage=self._usage,
            clock=self._clock,
            stop_state=self._stop_state,
            quarantine=self._quarantine,
            origins=self._origins,
            reachability=self._synced_reach,
            figures=build_exchange(
                self._dispatcher,
                self._hedging.figures,
                self._zones,
                self._state_parts.fetch,
            ),
        )

    def _build_relay(self) -> None:
        self._relay = Relay(
            host=self._cfg.host,
            view=self._reach,
            source=self._peers,
            clock=self._clock,
            header_codec=self._adapter.header_codec(),
            memory=self._upstream.response_memory,
        )
        self._sender = Sender(self._upstream, self._relay.upstream)
        self._forwarder = self._hedging.build_forwarder(
            self._sender, self._upstream
        )

    def _start(self) -> None:
        link = self._link
        RepeatingTimer('sync', self._sync_interval_s, link.sync).start()
        RepeatingTimer(
            'endpoints', CHECK_INTERVAL_S, self._endpoints.refresh_if_stale
        ).start()
        RepeatingTimer('tick', TICK_INTERVAL_S, self._dispatcher.tick).start()
        RepeatingTimer('origins', STORE_INTERVAL_S, self._store_origins).start()
        RepeatingTimer('reach', PROBE_CHECK_S, self._probe.run_due).start()
        check = self._quorum_check
        RepeatingTimer('quorum', check.interval_s, check.run).start()
        for part in self._threaded_parts():
            part.start()
        configure_engine()
        self._serve_callers()
        self._serve_readiness()
        cherrypy.engine.start()

    def _threaded_parts(self) -> tuple[Any, ...]:
        return (self._watcher, self._hedging, self._state_parts, self._relay)

    def _serve_readiness(self) -> None:
        readiness = self._adapter.readiness_app(self._link.is_serving)
        server = add_server(
            HttpAddress.from_host_port(self._cfg.listen.readiness),
            self._limits(_READINESS_THREADS),
            readiness,
        )
        self._servers.add(server.httpserver)

    def _sync_interval_s(self) -> float:
        return self._zones.interval_s(self._link.interval_s())

    def _store_origins(self) -> None:
        self._origins.store_new(self._dispatcher.listed_versions())

    def _listed_addresses(self) -> list[str]:
        return self._dispatcher.read_placement(
            lambda placement: placement.table.accepting_addresses()
        )

    def _forget_failures(self) -> None:
        self._dispatcher.update_placement(
            lambda placement: placement.table.forget_failures(),
        )

    def _serve_callers(self) -> None:
        parts: dict[str, Any] = {
            'state': self._state,
            'header_codec': self._adapter.header_codec(),
            'dispatcher': self._dispatcher,
            'forwarder': self._forwarder,
            'watcher': self._watcher,
            'stop_state': self._stop_state,
            'resumption': StreamResumption(self._origins, self._dispatcher),
        }
        cfg = self._cfg
        self._add_server(
            HttpAddress.from_host_port(cfg.listen.callers),
            self._limits(_THREADS),
            GatewayApplication(**parts),
        )
        self._add_server(
            HttpAddress(host=cfg.host.address, port=cfg.links.last_port),
            self._limits(_RELAY_THREADS, _MAX_TICKET_BYTES),
            self._relay.application(**parts),
        )

    def _add_server(
        self, address: HttpAddress, limits: ServerLimits, app: Any
    ) -> None:
        """Serve callers, or gateways that pass their requests on."""
        server = add_server(address, limits, app)
        http: Any = server.httpserver
        http.ConnectionClass = CallerConnection
        http.gateway = CallerGateway
        http.timeout = _IDLE_TIMEOUT_S
        http.keep_alive_conn_limit = _KEEP_ALIVE_MAX
        http.requests = GrowingThreadPool(
            http,
            min=limits.threads,
            max=_THREADS_MAX,
        )
        http.error_log = _log_server_error
        self._servers.add(http)

    def _limits(
        self, threads: int, extra_header_bytes: int = 0
    ) -> ServerLimits:
        return ServerLimits(
            threads=threads,
            max_header_bytes=_MAX_HEADER_BYTES + extra_header_bytes,
            header_timeout_s=_HEADER_TIMEOUT_S,
            body_timeout_s=_BODY_TIMEOUT_S,
            body_memory=self._body_memory,
            head_memory=self._head_memory,
            response_memory=self._response_memory,
        )


def _log_server_error(
    msg: str = '',
    level: int = logging.INFO,
    traceback: bool = False,
) -> None:
    _LOG.debug('HTTP server: %s', msg)
