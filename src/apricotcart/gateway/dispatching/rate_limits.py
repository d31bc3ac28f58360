"""Keeps this host's requests within the limits that endpoints name."""

from __future__ import annotations

from collections.abc import Iterable

from apricotcart.gateway.dispatching.endpoint_state import EndpointState
from apricotcart.gateway.dispatching.rate_share import RateShare


class RateLimits:
    """This host's share of the limits, and what it has used of it.

    Attributes
    ----------
    share : RateShare
        This host's place among the hosts that divide the limits.
    """

    __slots__ = ('share',)

    def __init__(self) -> None:
        self.share = RateShare()

    def update_share(self, share: RateShare) -> None:
        """Replace this host's share of the limits."""
        self.share = share

    def allows(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether one more request keeps to the endpoint's limit."""
        limit_per_s = endpoint.notices.limit_per_s
        if limit_per_s is None:
            return True
        period = self.share.period(now)
        granted = self.share.granted(
            endpoint.instance.instance_id, limit_per_s, period
        )
        return endpoint.rate_grants.count(period) < granted

    def count_request(self, endpoint: EndpointState, now: float) -> None:
        """Count a request to an endpoint, which may name its limit later."""
        endpoint.rate_grants.increment(self.share.period(now))

    def rate_per_s(self, endpoints: Iterable[EndpointState]) -> float | None:
        """Return the mean rate at which this host may send to endpoints.

        None if one of them names no limit, or if there are none.
        """
        limits = [endpoint.notices.limit_per_s for endpoint in endpoints]
        known = [limit for limit in limits if limit is not None]
        if not known or len(known) < len(limits):
            return None
        return sum(self.share.rate_per_s(limit) for limit in known)


class StartEstimate:
    """When requests may start, by what their endpoints ask for.

    Attributes
    ----------
    pause_s : float
        Time until an endpoint may get one, in seconds.
    rate_per_s : float or None
        Rate at which this host may send them; None without a limit.
    """

    __slots__ = ('pause_s', 'rate_per_s')

    def __init__(self, *, pause_s: float, rate_per_s: float | None) -> None:
        self.pause_s = pause_s
        self.rate_per_s = rate_per_s

    def wait_s(self, ahead: int) -> float:
        """Return the expected wait behind other requests, in seconds."""
        if self.rate_per_s is None:
            return self.pause_s
        return self.pause_s + ahead / self.rate_per_s
