"""A view of a host that never doubts that it reaches endpoints."""

from __future__ import annotations

from apricotcart.gateway.reachability.api import Reach, ReachView


class AlwaysReached(ReachView):
    """Never passes a request on."""

    __slots__ = ()

    def reach(self, now: float) -> Reach:
        """Return that endpoints are reached."""
        return Reach.REACHED
