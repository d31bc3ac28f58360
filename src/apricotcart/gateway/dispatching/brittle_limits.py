"""Keeps rejections within the number that brittle endpoints withstand.

A brittle endpoint ends when it rejects more than a number of requests in a
second for want of room. The hosts divide its slots by rank, so that together
they have no more requests there than it can run. A rejection takes a place of
its host for longer than that second: if ``slots + number`` places are divided,
an endpoint that rejects has all its slots in use by requests that take a place
each, and no more than ``number`` places are left for rejections.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Final

from apricotcart.gateway.dispatching.endpoint_state import EndpointState
from apricotcart.gateway.dispatching.hashing import hash_to_unit
from apricotcart.gateway.dispatching.rate_limits import RateLimits

# Ratio of the rejections whose places are divided. The rest is left to what
# the hosts do not count: requests that still run after their callers have left,
# and those of hosts that have not heard the word yet.
_DIVIDED_RATIO: Final = 0.5
# Ratio of the rejections a second that hosts without a place may risk in turn,
# without which they would not hear that the endpoint is no longer brittle.
_RISKED_RATIO: Final = 0.25
# Ratio of the slots up to which the reported load leaves room for a request
# in one of these places.
_ROOM_RATIO: Final = 0.75
# Standard deviations of a random number of running requests that the slots of
# a calm endpoint exceed the load by, and how many more if it withstands a
# single rejection; with more of them, it gives a warning first.
_CALM_DEVIATIONS: Final = 2.0
_CALM_EXTRA_DEVIATIONS: Final = 2.0
# Time for which an endpoint has to be calm. The load drops for a moment when
# requests that began together end.
_CALM_AFTER_S: Final = 3.0
# Time for which this host prefers the same endpoints.
_SPREAD_PERIOD_S: Final = 0.4


class ServiceWord:
    """What the endpoints of a service say together.

    Attributes
    ----------
    rejections_per_s : int
        Lowest number that one of them names.
    heard_at : float
        When the request was sent whose response last named one, in seconds.
    """

    __slots__ = ('heard_at', 'rejections_per_s')

    def __init__(self, rejections_per_s: int, heard_at: float) -> None:
        self.rejections_per_s = rejections_per_s
        self.heard_at = heard_at


class BrittleLimits:
    """This host's places at brittle endpoints.

    Parameters
    ----------
    rate_limits : RateLimits
        Has this host's rank among the hosts.
    """

    __slots__ = ('_rate_limits', '_words')

    def __init__(self, rate_limits: RateLimits) -> None:
        self._rate_limits = rate_limits
        self._words: dict[str, ServiceWord] = {}

    def update_service(
        self, service: str, endpoints: Sequence[EndpointState], now: float
    ) -> None:
        """Apply the words and the load of the endpoints of a service.

        All of them are brittle at the same times, and this host may not have
        heard each one yet.
        """
        named = [
            ServiceWord(
                endpoint.notices.rejections_per_s, endpoint.notices.heard_at
            )
            for endpoint in endpoints
            if endpoint.notices.rejections_per_s is not None
        ]
        if not named:
            self._words.pop(service, None)
            return
        word = ServiceWord(
            min(said.rejections_per_s for said in named),
            max(said.heard_at for said in named),
        )
        self._words[service] = word
        has_rejected = any(
            endpoint.rejections.count(now) for endpoint in endpoints
        )
        for endpoint in endpoints:
            if has_rejected or _is_loaded(endpoint, word):
                endpoint.rejections.loaded_until = now + _CALM_AFTER_S

    def rejections_per_s(self, endpoint: EndpointState) -> int | None:
        """Return the rejections that it withstands, None if it is sound."""
        notices = endpoint.notices
        if notices.rejections_per_s is not None:
            return notices.rejections_per_s
        word = self._words.get(endpoint.instance.service)
        if word is None or word.heard_at <= notices.heard_at:
            return None
        return word.rejections_per_s

    def allows(
        self,
        endpoint: EndpointState,
        slots: int,
        now: float,
    ) -> bool:
        """Return whether one more request leaves an endpoint up.

        Parameters
        ----------
        endpoint : EndpointState
            Endpoint and its load.
        slots : int
            Requests that it can run.
        now : float
            Time in seconds.
        """
        rejections = self.rejections_per_s(endpoint)
        if rejections is None:
            return True
        share = self._rate_limits.share
        instance_id = endpoint.instance.instance_id
        used = len(endpoint.local_requests) + endpoint.rejections.count(now)
        if used < share.places(instance_id, slots):
            return True
        room = slots * _ROOM_RATIO
        if now >= endpoint.rejections.loaded_until:
            return endpoint.estimated_requests < room
        if endpoint.requests >= room or endpoint.rejections.is_paused(now):
            return False
        places = share.places(
            instance_id, slots + int(rejections * _DIVIDED_RATIO)
        )
        return used < places + self._risked(endpoint, rejections, now)

    def spread(self, endpoint: EndpointState, now: float) -> float:
        """Return a number from 0 to 1 by which hosts prefer brittle endpoints.

        It is 0 for others. Without it, all hosts would send to the endpoint
        with the lowest load that was reported.
        """
        if self.rejections_per_s(endpoint) is None:
            return 0
        return hash_to_unit(
            str(self._rate_limits.share.rank),
            endpoint.instance.instance_id,
            str(int(now / _SPREAD_PERIOD_S)),
        )

    def _risked(
        self, endpoint: EndpointState, rejections_per_s: int, now: float
    ) -> int:
        if not rejections_per_s:
            return 0
        share = self._rate_limits.share
        return share.granted(
            endpoint.instance.instance_id,
            rejections_per_s * _RISKED_RATIO,
            share.period(now),
        )


def _is_loaded(endpoint: EndpointState, word: ServiceWord) -> bool:
    """Return whether requests at random times may fill an endpoint."""
    deviations = _CALM_DEVIATIONS + _CALM_EXTRA_DEVIATIONS / max(
        1, word.rejections_per_s
    )
    most_requests = endpoint.requests + deviations * math.sqrt(
        endpoint.requests
    )
    return most_requests > endpoint.instance.slots
