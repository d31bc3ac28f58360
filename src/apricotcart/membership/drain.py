"""Endpoints that may get new work."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

from apricotcart.state.records import Resource

#: Time after which a draining endpoint gets no new work.
DRAIN_BOUND_S: Final = 3.0
#: Longest time from the decision to dispatch a request until it is sent.
SEND_MARGIN_S: Final = 0.25


class EndpointEligibility:
    """Endpoints that are known not to be draining.

    The configuration copy may be used for 4 s after a sync, but an endpoint
    may have started to drain right after the sync. Once the last sync is
    older than the bound on draining, new requests therefore stay queued.
    """

    __slots__ = ('_not_draining', '_valid_until')

    def __init__(self) -> None:
        self._not_draining: frozenset[str] = frozenset()
        self._valid_until = -math.inf

    def update(
        self,
        endpoints: Iterable[Resource],
        sync_started_at: float,
    ) -> None:
        """Replace the endpoints by those of the configuration copy.

        Parameters
        ----------
        endpoints : iterable of Resource
            All endpoints of the copy.
        sync_started_at : float
            Monotonic time, in s, of the start of the sync that confirmed
            the copy: `ConfigCopy.last_sync_started_at`.
        """
        self._not_draining = frozenset(
            endpoint.name
            for endpoint in endpoints
            if not endpoint.spec['leaving']
        )
        self.confirm(sync_started_at)

    def confirm(self, sync_started_at: float) -> None:
        """Extend the validity after a sync that changed no endpoint."""
        valid_until = sync_started_at + DRAIN_BOUND_S - SEND_MARGIN_S
        self._valid_until = max(self._valid_until, valid_until)

    def may_dispatch(self, now: float, endpoint: str) -> bool:
        """Return whether an endpoint may get new work."""
        return now < self._valid_until and endpoint in self._not_draining

    def eligible(self, now: float) -> frozenset[str]:
        """Return all endpoints that may get new work."""
        return self._not_draining if now < self._valid_until else frozenset()
