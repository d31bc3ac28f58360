"""Which endpoints may get new work."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

from apricotcart.state.records import Resource

#: A draining endpoint gets no new work after this time.
DRAIN_BOUND_S: Final = 3.0
#: Time from the decision to dispatch until the request is sent.
SEND_MARGIN_S: Final = 0.25


class EndpointDrain:
    """Endpoints that are known not to be draining.

    The configuration copy may be used for 4 s after a sync, but an endpoint
    may be draining since just after it. New work is therefore held back
    once the last sync is older than the bound, and waits in the queue.
    """

    __slots__ = ('_open', '_until')

    def __init__(self) -> None:
        """Start without an endpoint."""
        self._open: frozenset[str] = frozenset()
        self._until = -math.inf

    def update(
        self,
        endpoints: Iterable[Resource],
        synced_from: float,
    ) -> None:
        """Take the endpoints of the copy and the time that proves them.

        Parameters
        ----------
        endpoints : iterable of Resource
            All endpoints of the copy.
        synced_from : float
            `ConfigCopy.synced_from`.
        """
        self._open = frozenset(
            endpoint.name
            for endpoint in endpoints
            if not endpoint.spec['leaving']
        )
        self.confirm(synced_from)

    def confirm(self, synced_from: float) -> None:
        """Take a later sync that changed no endpoint."""
        until = synced_from + DRAIN_BOUND_S - SEND_MARGIN_S
        self._until = max(self._until, until)

    def may_dispatch(self, now: float, endpoint: str) -> bool:
        """Say whether an endpoint may get new work."""
        return now < self._until and endpoint in self._open

    def eligible(self, now: float) -> frozenset[str]:
        """Give all endpoints that may get new work."""
        return self._open if now < self._until else frozenset()
