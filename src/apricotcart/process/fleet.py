"""Base class of the processes that the platform starts and stops."""

from __future__ import annotations

import logging
import signal
from abc import ABC, abstractmethod
from functools import cached_property
from typing import ClassVar, Self

from apricotcart.observability.catalogue import DROPPED_LOG_RECORDS
from apricotcart.observability.decisions import (
    DECISION_COUNTER,
    PROCESS_STOPPED,
    log_decision,
)
from apricotcart.observability.logs import dropped_records
from apricotcart.observability.metrics import Metrics
from apricotcart.observability.metrics_server import start_metrics_page
from apricotcart.platform.adapter import PlatformAdapter
from apricotcart.process.stop_request import StopRequest
from apricotcart.responses.memory import ResponseMemory
from apricotcart.settings.fleet import FleetConfig
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.body_memory import BodyMemory
from apricotcart.web.head_memory import HeadMemory
from apricotcart.web.server_group import ServerGroup, StopReason

_LOG = logging.getLogger(__name__)


class FleetProcess(ABC):
    """Process that serves until SIGTERM, with a metrics page.

    Parameters
    ----------
    cfg : FleetConfig
        Validated settings.
    adapter : PlatformAdapter
        Adapter to the names, formats and API of the platform.

    Attributes
    ----------
    role : str
        ``gateway`` or ``coordinator``, the name of the process in the log.
    """

    role: ClassVar[str]

    def __init__(self, cfg: FleetConfig, adapter: PlatformAdapter) -> None:
        self._cfg = cfg
        self._adapter = adapter
        self._stop_request = StopRequest()
        self._exit_code = 0
        self._servers = ServerGroup()

    @classmethod
    def from_config(cls, cfg: FleetConfig) -> Self:
        """Create the process from validated settings."""
        return cls(cfg, PlatformAdapter())

    def run(self) -> int:
        """Serve until a signal or a failure, and return the exit code."""
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(signal_number, self._stop_request.on_signal)
        name = self._cfg.host.name
        self._serve_metrics()
        self._start()
        _LOG.info('%s %s started', self.role, name)
        stop_at = self._wait_for_stop()
        _LOG.info('%s %s is stopping', self.role, name)
        self._stop_and_log(stop_at)
        _LOG.info('%s %s stopped', self.role, name)
        return self._exit_code

    def fail(self) -> None:
        """Stop the process and make it exit with a failure."""
        self._exit_code = 1
        self._stop_request.stop()

    @cached_property
    def _body_memory(self) -> BodyMemory:
        """Memory of the bodies that all servers of the process receive."""
        return BodyMemory(*self._cfg.body_limits())

    @cached_property
    def _head_memory(self) -> HeadMemory:
        """Memory of the heads that have arrived in part."""
        return HeadMemory(self._cfg.head_limit())

    @cached_property
    def _response_memory(self) -> ResponseMemory:
        """Memory of the answers that callers have not read."""
        return ResponseMemory(*self._cfg.answer_limits())

    @abstractmethod
    def _start(self) -> None:
        """Start serving, and return without waiting for the end."""

    @abstractmethod
    def _stop(self, stop_at: float) -> StopReason:
        """Finish running requests.

        Parameters
        ----------
        stop_at : float
            When the stop was asked for, in seconds of the boot clock.

        Returns
        -------
        StopReason
            The condition that ended the stop.
        """

    def _wait_for_stop(self) -> float:
        """Return when the stop was asked for, which may be long ago."""
        while True:
            signal_number, received_at = self._stop_request.wait()
            if signal_number != signal.SIGHUP:
                return received_at
            _LOG.info(
                '%s %s ignores SIGHUP: settings are read only at the start',
                self.role,
                self._cfg.host.name,
            )

    def _stop_and_log(self, stop_at: float) -> None:
        reason = self._stop(stop_at)
        log_decision(
            PROCESS_STOPPED,
            role=self.role,
            reason=reason,
            duration_s=boot_clock_s() - stop_at,
            **self._servers.counts(),
        )

    def _serve_metrics(self) -> None:
        metrics = Metrics()
        DECISION_COUNTER.attach_metrics(metrics)
        metrics.add_scrape_hook(
            lambda: metrics.set_total(DROPPED_LOG_RECORDS, dropped_records()),
        )
        start_metrics_page(
            metrics,
            self._cfg.host.address,
            self._cfg.metrics.port,
        )
