"""Server process of an entry host."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable
from typing import Self

import cherrypy

from apricotcart.codec.envelope import Sealer
from apricotcart.distribution.configcopy import ConfigCopy
from apricotcart.entry.access import AccessControl
from apricotcart.entry.app import EntryApplication
from apricotcart.entry.cached_configuration import CachedConfiguration
from apricotcart.entry.chat import ChatHandler
from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.dispatcher import Dispatcher
from apricotcart.entry.gauges import GAUGE_INTERVAL_S, EntryGauges
from apricotcart.entry.load_reports import POLL_INTERVAL_S, LoadPoller
from apricotcart.entry.orders import OrderRecorder
from apricotcart.entry.request_context import Runtime
from apricotcart.entry.retrying import RetryGate
from apricotcart.entry.running import CHECK_INTERVAL_S, RunningTable
from apricotcart.entry.services import ServiceHandler
from apricotcart.entry.shared_directory import SharedHostDirectory
from apricotcart.entry.stopping import ActiveRequests, HostDrain, flush_pending
from apricotcart.entry.synchronizer import HostIdentity, Synchronizer
from apricotcart.entry.upstream import Upstream
from apricotcart.entry.usage import UsageCounter, UsageSender
from apricotcart.membership.directory import HostDirectory
from apricotcart.membership.drain import EndpointEligibility
from apricotcart.process.api import ServerProcess
from apricotcart.scheduling.config import SchedulerConfig
from apricotcart.scheduling.scheduler import Scheduler
from apricotcart.settings.entry import EntryConfig
from apricotcart.state.limits import WINDOW_MS
from apricotcart.timers.repeating import RepeatingTimer
from apricotcart.transport.api import RequestClient
from apricotcart.transport.requests import NngRequestClient
from apricotcart.transport.tls import TlsFiles, cluster_dns_name
from apricotcart.web.body_memory import BodyMemory
from apricotcart.web.server import (
    HttpAddress,
    ServerLimits,
    add_server,
    configure_engine,
    mount,
)

_LOG = logging.getLogger(__name__)
_MS_PER_S = 1000
_DRAIN_CHECK_INTERVAL_S = 0.05
_NS_PER_MS = 1_000_000


Task = tuple[str, float, Callable[[], object]]


class EntryServer(ServerProcess):
    """Serves callers; a planned stop finishes queued and running requests."""

    service = 'entry'

    def __init__(self, cfg: EntryConfig) -> None:
        super().__init__(cfg)
        self._cfg = cfg
        self._identity = HostIdentity(
            name=cfg.host.name,
            zone=cfg.host.zone,
            url=cfg.host.advertised_url,
            incarnation=time.time_ns() // _NS_PER_MS,
        )
        self._link = ControlLink(_control_clients(cfg))
        self._config_copy = ConfigCopy()
        self._build_request_path()
        self._build_timers()

    @classmethod
    def from_config(cls, cfg: EntryConfig) -> Self:
        """Build the server from validated settings."""
        return cls(cfg)

    def _build_request_path(self) -> None:
        cfg = self._cfg
        rng = random.Random()
        scheduler = Scheduler.from_config(
            SchedulerConfig(
                zone=cfg.host.zone,
                max_queue=cfg.limits.max_queue,
            ),
            rng,
        )
        self._dispatcher = Dispatcher(scheduler)
        self._running = RunningTable()
        self._eligibility = EndpointEligibility()
        self._configuration = CachedConfiguration(
            self._config_copy, self._eligibility
        )
        self._runtime = Runtime(
            configuration=self._configuration,
            dispatcher=self._dispatcher,
            running=self._running,
            telemetry=self._telemetry,
            upstream=Upstream(cfg.limits.threads),
        )
        self._usage = UsageCounter(WINDOW_MS / _MS_PER_S)
        self._order_recorder = OrderRecorder(
            self._link,
            cfg.host.name,
            self._identity.incarnation,
        )
        directory = HostDirectory(
            zone=cfg.host.zone,
            rng=rng,
            ttl_s=cfg.hosts_answer.ttl_s,
        )
        self._host_directory = SharedHostDirectory(directory)
        self._active = ActiveRequests()

    def _build_timers(self) -> None:
        cfg = self._cfg
        self._synchronizer = Synchronizer(
            identity=self._identity,
            link=self._link,
            config_copy=self._config_copy,
            dispatcher=self._dispatcher,
            hosts=self._host_directory,
            eligibility=self._eligibility,
        )
        self._usage_sender = UsageSender(
            self._usage,
            self._link,
            cfg.host.name,
            self._identity.incarnation,
        )
        self._timers = [
            RepeatingTimer(name, interval_s, task)
            for name, interval_s, task in self._tasks()
        ]

    def _tasks(self) -> list[Task]:
        """Return name, interval in seconds and task of each timer."""
        cfg = self._cfg
        poller = LoadPoller(self._config_copy, self._dispatcher)
        gauges = EntryGauges(self._telemetry.metrics, self._config_copy)
        synchronizer = self._synchronizer
        return [
            ('sync', cfg.control.sync_interval_s, synchronizer.sync),
            (
                'drain',
                _DRAIN_CHECK_INTERVAL_S,
                synchronizer.pause_if_drain_state_stale,
            ),
            ('load', POLL_INTERVAL_S, poller.poll),
            ('gauges', GAUGE_INTERVAL_S, gauges.update),
            ('usage', cfg.usage.flush_interval_s, self._usage_sender.flush),
            ('keys', CHECK_INTERVAL_S, self._check_keys),
        ]

    def _check_keys(self) -> None:
        self._running.check(self._configuration)

    def _application(self) -> EntryApplication:
        access = AccessControl(self._configuration)
        gate = RetryGate(self._dispatcher, random.Random())
        max_body_bytes = self._cfg.limits.max_body_bytes
        return EntryApplication(
            access=access,
            chat=ChatHandler(
                runtime=self._runtime,
                access=access,
                usage=self._usage,
                gate=gate,
                max_body_bytes=max_body_bytes,
            ),
            services=ServiceHandler(
                runtime=self._runtime,
                access=access,
                usage=self._usage,
                gate=gate,
                orders=self._order_recorder,
                max_body_bytes=max_body_bytes,
            ),
            hosts=self._host_directory,
            active=self._active,
        )

    def _start(self) -> None:
        cfg = self._cfg
        self._dispatcher.start()
        for timer in self._timers:
            timer.start()
        configure_engine()
        mount(self._application())
        add_server(
            HttpAddress(
                host=cfg.host.address,
                port=cfg.host.port,
                cert=cfg.tls.cert,
                key=cfg.tls.key,
            ),
            ServerLimits(
                threads=cfg.limits.threads,
                max_header_bytes=cfg.limits.max_header_bytes,
                header_timeout_s=cfg.limits.header_timeout_s,
                body_timeout_s=cfg.limits.body_timeout_s,
                body_memory=BodyMemory(cfg.limits.held_body_bytes),
            ),
        )
        cherrypy.engine.start()

    def _stop(self) -> None:
        cfg = self._cfg
        drain = HostDrain(
            self._identity,
            self._synchronizer,
            self._active,
            cfg.hosts_answer.ttl_s,
        )
        drain.run()
        cherrypy.engine.exit()
        for timer in self._timers:
            timer.stop()
        flush_pending(self._usage_sender, self._order_recorder)
        self._dispatcher.stop()


def _control_clients(cfg: EntryConfig) -> dict[str, RequestClient]:
    sealer = Sealer(cfg.cluster.read_secret())
    tls = cfg.tls
    files = None
    if tls.ca:
        files = TlsFiles(
            cert=tls.cert or '',
            key=tls.key or '',
            ca=tls.ca,
            name=cluster_dns_name(cfg.cluster.name),
        )
    return {
        address: NngRequestClient(address, sealer, files)
        for address in cfg.control.addresses
    }
