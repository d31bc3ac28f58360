"""Divides the free slots of engines among the hosts without messages."""

from __future__ import annotations

import math
from typing import Final

from apricotcart.desired.records import Engine
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    Requirements,
)
from apricotcart.gateway.dispatching.hashing import hash_to_unit
from apricotcart.gateway.dispatching.reservation import Reservation

# Period for which free slots are divided among the hosts. It is about the age
# of the load that the other hosts report.
_GRANT_PERIOD_S: Final = 0.4
# Engines that one host considers for latency-critical streams in a period,
# while all are empty. Most hosts would send theirs to the same engine if each
# considered all, and a host that considers one would not balance their load.
_STREAM_CHOICES: Final = 3
# Up to this many other hosts, each estimates what the others place.
_FEW_HOSTS: Final = 8


class SlotGrants:
    """Decides whether this host may use a free slot of an engine.

    The hosts divide the free slots by a hash for each period, since otherwise
    all of them would fill an engine that has just become free. Short urgent
    requests are exempt since they free their slot soon. The streams with the
    lowest latency target cannot wait for a grant: each host prefers a few of
    their engines, which differ between hosts and periods.

    Parameters
    ----------
    host : str
        Name of this host.
    reservation : Reservation
        Number of engines reserved for latency-critical streams.
    """

    __slots__ = ('_chances', '_chances_period', '_host', '_reservation')

    def __init__(self, host: str, reservation: Reservation) -> None:
        self._host = host
        self._reservation = reservation
        # Results of the hash in the current period, by endpoint.
        self._chances: dict[str, float] = {}
        self._chances_period = -1

    def allows(
        self,
        now: float,
        endpoint: EndpointState,
        requirements: Requirements,
        engine: Engine,
    ) -> bool:
        """Return whether this host may use a free slot for a request."""
        if requirements.is_latency_critical:
            return self._is_candidate(now, endpoint, requirements, engine)
        if requirements.level and requirements.is_short:
            return True
        free_slots = engine.slots * requirements.slot_ratio - endpoint.requests
        fair_share = free_slots / (endpoint.peer_hosts + 1)
        granted_slots = math.floor(fair_share)
        period = _period_of(now)
        chance = self._chance(now, endpoint)
        if chance < fair_share - granted_slots:
            granted_slots += 1
        return endpoint.slot_grants.count(period) < granted_slots

    def count_request(self, now: float, endpoint: EndpointState) -> None:
        """Count a request that was placed on an endpoint."""
        endpoint.slot_grants.increment(_period_of(now))

    def _is_candidate(
        self,
        now: float,
        endpoint: EndpointState,
        requirements: Requirements,
        engine: Engine,
    ) -> bool:
        if endpoint.peer_hosts <= _FEW_HOSTS:
            return True
        reserved = self._reservation.last_count(requirements.service)
        free_ratio = 1 - endpoint.requests / engine.slots
        chance = self._chance(now, endpoint)
        return chance * reserved < free_ratio * _STREAM_CHOICES

    def _chance(self, now: float, endpoint: EndpointState) -> float:
        period = _period_of(now)
        if period != self._chances_period:
            self._chances.clear()
            self._chances_period = period
        name = endpoint.instance.instance_id
        chance = self._chances.get(name)
        if chance is None:
            chance = hash_to_unit(self._host, name, str(period))
            self._chances[name] = chance
        return chance


def _period_of(now: float) -> int:
    return int(now / _GRANT_PERIOD_S)
