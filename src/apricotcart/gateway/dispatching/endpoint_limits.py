"""Decides what an endpoint bears at the moment.

There are three sources: the limit that an endpoint names, the rejections that a
brittle one withstands, and the requests that a cold one takes. All of them are
divided among the hosts by rank.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from apricotcart.gateway.dispatching.brittle_limits import BrittleLimits
from apricotcart.gateway.dispatching.cold_limits import ColdLimits
from apricotcart.gateway.dispatching.endpoint_state import EndpointState
from apricotcart.gateway.dispatching.rate_limits import RateLimits
from apricotcart.gateway.dispatching.rate_share import RateShare


class EndpointLimits:
    """This host's part of what endpoints bear.

    Attributes
    ----------
    rates : RateLimits
        Requests a second that endpoints name.
    brittle : BrittleLimits
        Rejections a second that brittle endpoints withstand.
    cold : ColdLimits
        Requests a second that cold endpoints take.
    """

    __slots__ = ('brittle', 'cold', 'rates')

    def __init__(self) -> None:
        self.rates = RateLimits()
        self.brittle = BrittleLimits(self.rates)
        self.cold = ColdLimits()

    def update_share(self, share: RateShare, now: float) -> None:
        """Apply this host's place of a sync that was sent at a time."""
        self.rates.update_share(share)
        self.cold.share.update(share, now)

    def update_service(
        self, service: str, endpoints: Sequence[EndpointState], now: float
    ) -> None:
        """Apply what the endpoints of a service say together."""
        self.brittle.update_service(service, endpoints, now)

    def allows(self, endpoint: EndpointState, slots: int, now: float) -> bool:
        """Return whether an endpoint bears one more request of this host.

        Parameters
        ----------
        endpoint : EndpointState
            Endpoint and its load.
        slots : int
            Requests that it can run.
        now : float
            Time in seconds.
        """
        return (
            self.rates.allows(endpoint, now)
            and self.cold.allows(endpoint, now)
            and self.brittle.allows(endpoint, slots, now)
        )

    def count_request(self, endpoint: EndpointState, now: float) -> None:
        """Count a request that was placed on an endpoint."""
        self.rates.count_request(endpoint, now)
        self.cold.count_request(endpoint, now)

    def divides_slots(self, endpoint: EndpointState) -> bool:
        """Return whether the slots of an endpoint are divided already."""
        return self.brittle.rejections_per_s(endpoint) is not None

    def spread(self, endpoint: EndpointState, now: float) -> float:
        """Return a number from 0 to 1 by which hosts prefer endpoints."""
        return self.brittle.spread(endpoint, now)

    def rate_per_s(self, endpoints: Iterable[EndpointState]) -> float | None:
        """Return the mean rate at which this host may send to endpoints.

        None if one of them names no limit, or if there are none.
        """
        return self.rates.rate_per_s(endpoints)
