"""Base class of the processes of entry hosts and control hosts."""

from __future__ import annotations

import logging
import signal
from abc import ABC, abstractmethod
from typing import ClassVar

from apricotcart.observability.metrics import Metrics
from apricotcart.observability.metrics_server import (
    MetricsServer,
    start_metrics_page,
)
from apricotcart.observability.telemetry import Telemetry
from apricotcart.observability.tracing import Tracer
from apricotcart.process.stop_request import StopRequest
from apricotcart.settings.control import ControlConfig
from apricotcart.settings.entry import EntryConfig

_LOG = logging.getLogger(__name__)
EXIT_OK = 0
EXIT_FAILED = 1


class ServerProcess(ABC):
    """Process that serves until SIGTERM, with metrics page and tracer.

    Attributes
    ----------
    service : str
        ``entry`` or ``control``, the name of the service in spans and logs.
    """

    service: ClassVar[str]

    def __init__(self, cfg: ControlConfig | EntryConfig) -> None:
        """Create the tracer and the metrics."""
        self._settings = cfg
        self._stop_request = StopRequest()
        self._exit_code = EXIT_OK
        self._metrics_server: MetricsServer | None = None
        tracer = Tracer.from_config(cfg.tracing, self.service, cfg.host.name)
        self._telemetry = Telemetry(tracer, Metrics())

    def run(self) -> int:
        """Serve until a signal or a failure, and return the exit code."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._stop_request.on_signal)
        cfg = self._settings
        self._metrics_server = start_metrics_page(
            self._telemetry.metrics,
            cfg.host.address,
            cfg.metrics.port,
        )
        self._start()
        _LOG.info('%s host %s started', self.service, cfg.host.name)
        self._stop_request.wait()
        self._stop()
        self._telemetry.tracer.close()
        if self._metrics_server is not None:
            self._metrics_server.stop()
        _LOG.info('%s host %s stopped', self.service, cfg.host.name)
        return self._exit_code

    def fail(self) -> None:
        """Stop the process and make it exit with a failure."""
        self._exit_code = EXIT_FAILED
        self._stop_request.stop()

    @abstractmethod
    def _start(self) -> None:
        """Start serving, and return without waiting for the end."""

    @abstractmethod
    def _stop(self) -> None:
        """Finish running requests, then stop serving."""
