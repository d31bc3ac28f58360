"""Keeps requests to cold endpoints within the rate that these withstand.

An endpoint that has just started takes only some requests a second from all
hosts together, and ends at a rate well above that. Time is divided into slots,
one for each request, and each slot belongs to one host, by its rank. Slots, not
seconds, are divided: the requests of two neighbouring seconds could be sent
close together. A host whose slot passes without a request loses it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Final

from apricotcart.desired.records import Service
from apricotcart.gateway.dispatching.endpoint_state import EndpointState
from apricotcart.gateway.dispatching.hashing import hash_to_unit
from apricotcart.gateway.dispatching.rate_share import RateShare
from apricotcart.gateway.dispatching.settled_share import (
    STALE_DIVISOR,
    SettledShare,
)

# Time from the start of a slot in which its host may send a request.
_USABLE_S: Final = 0.1
# Differences of the hosts' clocks, and of the times until requests arrive.
_SPREAD_S: Final = 0.4
# Ratio of the requests in any second to those of the hosts' slots, by these
# times and by hosts that use a part of an outdated share.
_MAX_RATIO: Final = (1 + _USABLE_S + _SPREAD_S) * (1 + 1 / STALE_DIVISOR)
# Lowest rate that is divided. Endpoints of a service of which all are cold
# would otherwise get no request.
_MIN_RATE_PER_S: Final = 0.1


class ColdLimit:
    """What a cold endpoint of one service withstands.

    Attributes
    ----------
    rate_per_s : float
        Requests a second that all hosts together send.
    cold_s : float
        Time for which an endpoint is cold after its start, in seconds.
    """

    __slots__ = ('cold_s', 'rate_per_s')

    def __init__(self, *, rate_per_s: float, cold_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.cold_s = cold_s

    @classmethod
    def from_service(
        cls, service: Service, overshoot: float, tolerance: float
    ) -> ColdLimit:
        """Return the limit of a service.

        Parameters
        ----------
        service : Service
            Names the requests a second that a cold endpoint takes.
        overshoot, tolerance : float
            An endpoint withstands in any second that number times
            ``overshoot`` plus ``tolerance``.
        """
        most_in_a_second = service.cold_per_s * overshoot + tolerance
        # A window of time may begin just before a slot.
        safe_per_s = (most_in_a_second - 1) / _MAX_RATIO
        return cls(
            rate_per_s=max(
                _MIN_RATE_PER_S, min(service.cold_per_s, safe_per_s)
            ),
            cold_s=service.cold_s,
        )


class ColdLimits:
    """This host's slots at cold endpoints.

    Attributes
    ----------
    share : SettledShare
        This host's place among the hosts that divide the slots.
    limits : mapping of str to ColdLimit
        Limits by service; other services have none.
    suspected_zones : mapping of str to float
        Zones whose endpoints may have become cold up to a time in seconds,
        and count as cold until the list or they themselves have said more.
    """

    __slots__ = ('limits', 'share', 'suspected_zones')

    def __init__(self) -> None:
        self.share = SettledShare()
        self.limits: Mapping[str, ColdLimit] = {}
        self.suspected_zones: Mapping[str, float] = {}

    def configure(self, limits: Mapping[str, ColdLimit]) -> None:
        """Set the limits by service name."""
        self.limits = limits

    def is_limited(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether an endpoint is cold and its service has a limit."""
        limit = self.limits.get(endpoint.instance.service)
        return limit is not None and self._is_cold(endpoint, limit, now)

    def count_limited(
        self, endpoints: Iterable[EndpointState], now: float
    ) -> int:
        """Return how many endpoints are limited since they are cold."""
        return sum(self.is_limited(endpoint, now) for endpoint in endpoints)

    def allows(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether this host may send a request to an endpoint."""
        if not self.is_limited(endpoint, now):
            return True
        return self._free_slot(endpoint, now) is not None

    def count_request(self, endpoint: EndpointState, now: float) -> None:
        """Count a request to an endpoint."""
        if self.is_limited(endpoint, now):
            slot = self._free_slot(endpoint, now)
            if slot is not None:
                endpoint.used_cold_slot = slot

    def _is_cold(
        self, endpoint: EndpointState, limit: ColdLimit, now: float
    ) -> bool:
        instance = endpoint.instance
        notices = endpoint.notices
        if notices.is_cold(now):
            return True
        # The list does not show it again if an endpoint becomes cold anew
        # before it was warm, so a whole time is added.
        cold_s = instance.warmup_s and instance.warmup_s + limit.cold_s
        if now < endpoint.listing.updated_at + cold_s:
            return True
        returned_at = self.suspected_zones.get(instance.zone)
        return (
            returned_at is not None and notices.cold_until.sent_at < returned_at
        )

    def _free_slot(self, endpoint: EndpointState, now: float) -> int | None:
        """Return an unused slot of this host that has begun just before."""
        share = self.share.share
        if share is None:
            return None
        rate = self.limits[endpoint.instance.service].rate_per_s
        divisor = self.share.divisor(now)
        endpoint_id = endpoint.instance.instance_id
        for slot in _usable_slots(endpoint, rate, now + share.unix_offset_s):
            if _is_own_slot(share, endpoint_id, slot, divisor):
                return slot
        return None


def _usable_slots(
    endpoint: EndpointState, rate_per_s: float, unix_s: float
) -> range:
    """Return the slots of all hosts that have begun just before.

    Those up to the last one that this host has used are left out.
    """
    position = unix_s * rate_per_s + hash_to_unit(endpoint.instance.instance_id)
    last = math.floor(position)
    first = math.floor(position - _USABLE_S * rate_per_s) + 1
    used = endpoint.used_cold_slot
    # Slots have other numbers after a change of the rate or of the clock.
    if used is not None and used <= last:
        first = max(first, used + 1)
    return range(first, last + 1)


def _is_own_slot(
    share: RateShare, endpoint_id: str, slot: int, divisor: int
) -> bool:
    """Return whether a slot belongs to this host.

    Each host has one slot in a round of as many slots as there are hosts, and
    uses one of as many rounds as the divisor says, others than its neighbours.
    """
    number, place = divmod(slot, share.hosts)
    if (number + share.rank) % divisor:
        return False
    shift = int(hash_to_unit(endpoint_id, str(number)) * share.hosts)
    return (share.rank + shift) % share.hosts == place
