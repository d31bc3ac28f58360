"""Serves the metrics page on a port of its own."""

from __future__ import annotations

from threading import Thread
from typing import Final, Self

from cheroot.wsgi import Server

from apricotcart.observability.metrics import Metrics

_THREADS: Final = 2
_TIMEOUT_S: Final = 5


class MetricsServer:
    """A small HTTP server with the metrics page only.

    The page has a port of its own, so that callers cannot reach it where
    the network keeps that port from them.

    Parameters
    ----------
    metrics : Metrics
        What the page shows.
    address : str
        IP address to listen on.
    port : int
        Port to listen on; 0 takes a free one.
    """

    __slots__ = ('_server', '_thread')

    def __init__(self, metrics: Metrics, address: str, port: int) -> None:
        """Prepare the server; nothing listens yet."""
        self._server = Server(
            (address, port),
            metrics.wsgi_app,
            numthreads=_THREADS,
            max=_THREADS,
            timeout=_TIMEOUT_S,
            shutdown_timeout=_TIMEOUT_S,
        )
        self._thread = Thread(
            target=self._server.serve, name='metrics', daemon=True
        )

    @property
    def port(self) -> int:
        """Port that the server listens on once it is started."""
        return int(self._server.bind_addr[1])

    def start(self) -> Self:
        """Listen and answer.

        Raises
        ------
        OSError
            If the port is taken.
        """
        self._server.prepare()
        self._thread.start()
        return self

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()
        self._thread.join()


def start_metrics_page(
    metrics: Metrics,
    address: str,
    port: int,
) -> MetricsServer | None:
    """Start the page if a port is configured; port 0 means none."""
    if not port:
        return None
    return MetricsServer(metrics, address, port).start()
