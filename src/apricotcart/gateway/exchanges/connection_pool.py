"""Idle connections to endpoints, kept for later requests."""

from __future__ import annotations

import threading
from collections import deque
from typing import Final

from urllib3.util.connection import is_connection_dropped

from apricotcart.gateway.exchanges.connections import EndpointConnection
from apricotcart.gateway.exchanges.endpoint_runs import EndpointRuns
from apricotcart.gateway.reachability.api import ReachObserver
from apricotcart.timers.clock import boot_clock_s

# An idle connection is dropped this long before the endpoint's keep-alive time
# ends, so that a request is not sent while the endpoint closes it.
_KEEP_ALIVE_MARGIN_S: Final = 1.0
# Keep-alive time of an endpoint that does not state one.
_KEEP_ALIVE_DEFAULT_S: Final = 4.0
# Maximum number of idle connections for each endpoint.
_MAX_IDLE_PER_ENDPOINT: Final = 32


class ConnectionPool:
    """Idle connections by endpoint address.

    Parameters
    ----------
    observer : ReachObserver or None
        Learns which endpoints are reached, by their addresses.
    """

    __slots__ = ('_idle', '_lock', '_observer', '_runs')

    def __init__(self, observer: ReachObserver | None = None) -> None:
        self._observer = observer
        self._runs = EndpointRuns()
        self._idle: dict[str, deque[EndpointConnection]] = {}
        self._lock = threading.Lock()

    def acquire(self, address: str) -> EndpointConnection:
        """Return an idle or new connection to the endpoint at ``IP:PORT``.

        Raises
        ------
        UnreachableEndpointError
            If the connection cannot be established.
        """
        conn = self._take_idle(address)
        if conn is None:
            conn = EndpointConnection(address, self._observer)
            conn.connect()
            self._runs.add(address, conn.observation)
        return conn

    def knows_run(
        self, address: str, conn: EndpointConnection, since: float
    ) -> bool:
        """Return whether a connection is to the run of an earlier time.

        Parameters
        ----------
        address : str
            Address of the endpoint.
        conn : EndpointConnection
            A connection to it.
        since : float
            The earlier time, in seconds.
        """
        return self._runs.is_unbroken(address, since, conn.observation)

    def release(
        self,
        address: str,
        conn: EndpointConnection,
        keeps_s: float | None,
    ) -> None:
        """Return a connection to the pool after a complete response."""
        keep_alive_s = _KEEP_ALIVE_DEFAULT_S if keeps_s is None else keeps_s
        if (
            conn.is_aborted
            or keep_alive_s <= _KEEP_ALIVE_MARGIN_S
            or conn.has_unread_bytes()
        ):
            conn.discard()
            return
        conn.is_reused = True
        conn.usable_until = boot_clock_s() + keep_alive_s - _KEEP_ALIVE_MARGIN_S
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            idle.append(conn)
            excess = (
                idle.popleft() if len(idle) > _MAX_IDLE_PER_ENDPOINT else None
            )
        if excess is not None:
            excess.discard()

    def close_except(self, addresses: set[str]) -> None:
        """Close the idle connections to all other addresses."""
        self._runs.retain(addresses)
        with self._lock:
            unlisted = [
                address for address in self._idle if address not in addresses
            ]
            dropped = [
                conn for address in unlisted for conn in self._idle.pop(address)
            ]
        for conn in dropped:
            conn.discard()

    def _take_idle(self, address: str) -> EndpointConnection | None:
        while True:
            with self._lock:
                idle = self._idle.get(address)
                conn = idle.pop() if idle else None
            if conn is None:
                return None
            if _is_usable(conn):
                return conn
            conn.discard()


def _is_usable(conn: EndpointConnection) -> bool:
    if boot_clock_s() > conn.usable_until:
        return False
    return not is_connection_dropped(conn)
