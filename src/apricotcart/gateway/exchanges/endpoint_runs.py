"""Tells whether an endpoint has run without a break, by its connections.

An endpoint may start again under its id as another software version, and the
list of endpoints shows that late. A connection ends with the run of the
endpoint that has accepted it. If it brought bytes, that run has lasted from
its establishment until then.
"""

from __future__ import annotations

import threading
from typing import Final, Protocol
from weakref import WeakSet

# An endpoint takes longer to start again.
_RESTART_MIN_S: Final = 0.5


class ConnectionTimes(Protocol):
    """When a connection was established and last brought bytes, in seconds."""

    established_at: float
    received_at: float


class EndpointRuns:
    """Connections to each endpoint, as long as something refers to them."""

    __slots__ = ('_by_address', '_lock')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_address: dict[str, WeakSet[ConnectionTimes]] = {}

    def add(self, address: str, times: ConnectionTimes) -> None:
        """Add a connection that was established."""
        with self._lock:
            self._by_address.setdefault(address, WeakSet()).add(times)

    def retain(self, addresses: set[str]) -> None:
        """Forget the connections to all other addresses."""
        with self._lock:
            for address in self._by_address.keys() - addresses:
                self._by_address.pop(address)

    def is_unbroken(
        self, address: str, since: float, times: ConnectionTimes
    ) -> bool:
        """Return whether a connection is to the run of an earlier time.

        Parameters
        ----------
        address : str
            Address of the endpoint.
        since : float
            The earlier time, in seconds.
        times : ConnectionTimes
            The connection.
        """
        if times.established_at <= since:
            return True
        lasted_until = times.established_at - _RESTART_MIN_S
        with self._lock:
            others = list(self._by_address.get(address, ()))
        return any(
            other.established_at <= since and other.received_at >= lasted_until
            for other in others
        )
