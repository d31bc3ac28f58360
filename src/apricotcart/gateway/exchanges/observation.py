"""Reports whether connections to an endpoint succeed."""

from __future__ import annotations

import socket
from typing import Any, Final

from apricotcart.gateway.reachability.api import ReachObserver
from apricotcart.gateway.reachability.unobserved import NULL_OBSERVER
from apricotcart.timers.clock import boot_clock_s
from apricotcart.timers.deadline_reader import DeadlineReader

# A connection that failed this long after its timeout did so because the
# process stood still.
_LATE_FAILURE_S: Final = 0.5


class EndpointObservation:
    """Reports on the connections to one endpoint.

    Parameters
    ----------
    address : str
        Address of the endpoint, which identifies it.
    observer : ReachObserver or None
        Receives the reports.

    Attributes
    ----------
    established_at : float
        When the connection was established, in seconds; 0 before.
    received_at : float
        When it last brought bytes, in seconds; 0 before.
    """

    __slots__ = (
        '__weakref__',
        '_address',
        '_observer',
        'established_at',
        'received_at',
    )

    def __init__(self, address: str, observer: ReachObserver | None) -> None:
        self._address = address
        self._observer = observer or NULL_OBSERVER
        self.established_at: float = 0
        self.received_at: float = 0

    def on_connecting(self) -> None:
        """Report that a connection is being established."""
        self._observer.on_connecting(self._address, boot_clock_s())

    def on_connected(self) -> None:
        """Report a new connection."""
        self.established_at = boot_clock_s()
        self._observer.on_connected(self._address, self.established_at)

    def on_connect_failed(self, started_at: float, timeout_s: float) -> None:
        """Report a connection that failed, unless this host stood still."""
        now = boot_clock_s()
        if now < started_at + timeout_s + _LATE_FAILURE_S:
            self._observer.on_attempt_failed(self._address, started_at, now)

    def on_received(self) -> None:
        """Report received bytes."""
        self.received_at = boot_clock_s()
        self._observer.on_received(self._address, self.received_at)

    def on_silent(self) -> None:
        """Report a connection that ended without bytes."""
        self._observer.on_silent(self._address, boot_clock_s())


class ObservedReader(DeadlineReader):
    """Reader that reports whether the endpoint sends bytes.

    Parameters
    ----------
    sock : socket.socket
        The socket.
    observation : EndpointObservation
        Receives the reports.
    """

    def __init__(
        self, sock: socket.socket, observation: EndpointObservation
    ) -> None:
        super().__init__(sock)
        self._observation = observation

    def readinto(self, buffer: Any) -> int | None:
        """Read into the buffer; raise TimeoutError at the deadline."""
        try:
            size = super().readinto(buffer)
        except (TimeoutError, ConnectionError):
            self._observation.on_silent()
            raise
        if size:
            self._observation.on_received()
        return size
