"""Serves the metrics page on a separate port."""

from __future__ import annotations

from threading import Thread
from typing import Any, Final, Self

from apricotcart.observability.metrics import Metrics
from apricotcart.web.answering import ConnectionGateway
from apricotcart.web.deadlines import DeadlineConnection
from apricotcart.web.http_server import DrainingServer

_THREADS: Final = 2
_TIMEOUT_S: Final = 5
_MAX_HEADER_BYTES: Final = 16_384


class MetricsServer:
    """HTTP server that serves only the metrics page.

    The page has a separate port, so that a network can block callers from
    it.

    Parameters
    ----------
    metrics : Metrics
        Metrics to show on the page.
    address : str
        IP address to listen on.
    port : int
        Port to listen on; 0 selects a free port.
    """

    __slots__ = ('_server', '_thread')

    def __init__(self, metrics: Metrics, address: str, port: int) -> None:
        """Create the server; it does not listen until ``start``."""
        self._server: Any = DrainingServer(
            (address, port),
            metrics.wsgi_app,
            numthreads=_THREADS,
            max=_THREADS,
            timeout=_TIMEOUT_S,
            shutdown_timeout=_TIMEOUT_S,
        )
        self._server.ConnectionClass = DeadlineConnection
        self._server.gateway = ConnectionGateway
        self._server.max_request_header_size = _MAX_HEADER_BYTES
        self._server.header_timeout_s = _TIMEOUT_S
        self._server.body_timeout_s = _TIMEOUT_S
        self._thread = Thread(
            target=self._server.serve, name='metrics', daemon=True
        )

    @property
    def port(self) -> int:
        """Port on which the started server listens."""
        return int(self._server.bind_addr[1])

    def start(self) -> Self:
        """Listen and serve requests in a thread.

        Raises
        ------
        OSError
            If the port is in use.
        """
        self._server.prepare()
        self._thread.start()
        return self

    def stop(self) -> None:
        """Stop the server and join its thread."""
        self._server.stop()
        self._thread.join()


def start_metrics_page(
    metrics: Metrics,
    address: str,
    port: int,
) -> MetricsServer | None:
    """Start the metrics server; return None if ``port`` is 0."""
    if not port:
        return None
    return MetricsServer(metrics, address, port).start()
