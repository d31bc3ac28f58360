"""What other parts of a gateway learn about and tell of its reachability."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod


class Reach(enum.Enum):
    """What this host believes about its path to the endpoints."""

    # It has reached an endpoint recently, or has had no reason to doubt.
    REACHED = 'reached'
    # Its recent connections have failed at several endpoints and succeeded at
    # none. A request that has not been sent yet may be passed on.
    SUSPECT = 'suspect'
    # It reaches no endpoint while other gateways do. New requests are passed
    # on at once.
    CUT_OFF = 'cut_off'


class ReachObserver(ABC):
    """Records whether connections to endpoints succeed."""

    def on_connecting(self, endpoint_id: str, now: float) -> None:
        """Record that a new connection is being established."""

    @abstractmethod
    def on_connected(self, endpoint_id: str, now: float) -> None:
        """Record that a new connection was established."""

    @abstractmethod
    def on_connect_failed(self, endpoint_id: str, now: float) -> None:
        """Record that a new connection failed or timed out."""

    def on_attempt_failed(
        self, endpoint_id: str, started_at: float, now: float
    ) -> None:
        """Record that a new connection that began at a time has failed."""
        self.on_connect_failed(endpoint_id, now)

    @abstractmethod
    def on_received(self, endpoint_id: str, now: float) -> None:
        """Record that an endpoint has sent bytes on any connection."""

    @abstractmethod
    def on_silent(self, endpoint_id: str, now: float) -> None:
        """Record that an open connection ended or timed out without bytes."""


class ReachView(ABC):
    """Tells whether this host reaches endpoints."""

    @abstractmethod
    def reach(self, now: float) -> Reach:
        """Return the current belief at a time in seconds of the boot clock."""
