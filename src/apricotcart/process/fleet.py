"""A process that the users' platform starts and stops."""

from __future__ import annotations

import logging
import signal
import threading
from abc import ABC, abstractmethod
from typing import Any, ClassVar, Self

from apricotcart.observability.catalogue import DROPPED_LOG_RECORDS
from apricotcart.observability.decisions import DECISION_COUNTER
from apricotcart.observability.logs import dropped_records
from apricotcart.observability.metrics import Metrics
from apricotcart.observability.metrics_server import start_metrics_page
from apricotcart.platform.adapter import PlatformAdapter
from apricotcart.settings.fleet import FleetConfig

_LOG = logging.getLogger(__name__)


class FleetProcess(ABC):
    """Signals and metrics page of one process.

    Parameters
    ----------
    cfg : FleetConfig
        Checked settings.
    adapter : PlatformAdapter
        The platform's names, formats and calls.

    Attributes
    ----------
    role : str
        ``gateway`` or ``coordinator``, as the log names it.
    """

    role: ClassVar[str]

    def __init__(self, cfg: FleetConfig, adapter: PlatformAdapter) -> None:
        """Keep the settings and the adapter."""
        self._cfg = cfg
        self._adapter = adapter
        self._stopping = threading.Event()
        self._exit_code = 0

    @classmethod
    def from_config(cls, cfg: FleetConfig) -> Self:
        """Build the process from checked settings."""
        return cls(cfg, PlatformAdapter())

    def run(self) -> int:
        """Serve until SIGTERM or a failure; give the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_reload)
        name = self._cfg.host.name
        self._serve_metrics()
        self._start()
        _LOG.info('%s %s serves', self.role, name)
        self._stopping.wait()
        _LOG.info('%s %s stops', self.role, name)
        self._stop()
        _LOG.info('%s %s has stopped', self.role, name)
        return self._exit_code

    def fail(self) -> None:
        """Stop because of a failure."""
        self._exit_code = 1
        self._stopping.set()

    @abstractmethod
    def _start(self) -> None:
        """Start everything; returns while the process serves."""

    @abstractmethod
    def _stop(self) -> None:
        """Finish what runs."""

    def _serve_metrics(self) -> None:
        metrics = Metrics()
        DECISION_COUNTER.attach_metrics(metrics)
        metrics.add_source(
            lambda: metrics.set_total(DROPPED_LOG_RECORDS, dropped_records()),
        )
        start_metrics_page(
            metrics,
            self._cfg.host.address,
            self._cfg.metrics.port,
        )

    def _on_signal(self, *_args: Any) -> None:
        self._stopping.set()

    def _on_reload(self, *_args: Any) -> None:
        _LOG.info('%s %s keeps its settings', self.role, self._cfg.host.name)
