"""Observer for connections whose success nobody needs to know."""

from __future__ import annotations

from typing import Final

from apricotcart.gateway.reachability.api import ReachObserver


class NullObserver(ReachObserver):
    """Ignores all observations."""

    __slots__ = ()

    def on_connected(self, endpoint_id: str, now: float) -> None:
        """Ignore a new connection."""

    def on_connect_failed(self, endpoint_id: str, now: float) -> None:
        """Ignore a failed connection."""

    def on_received(self, endpoint_id: str, now: float) -> None:
        """Ignore received bytes."""

    def on_silent(self, endpoint_id: str, now: float) -> None:
        """Ignore a connection without bytes."""


NULL_OBSERVER: Final = NullObserver()
