"""Availability zones whose endpoints get no requests of this host."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

from apricotcart.coordinator.exchange_messages import EvacuatedZones, ZoneStatus
from apricotcart.gateway.dispatching.cold_limits import ColdLimits
from apricotcart.gateway.dispatching.endpoint_table import EndpointTable

# Longest time for which endpoints of a zone that was taken back count as cold
# without a newer list.
_MAX_SUSPECTED_S: Final = 15.0


class Evacuations:
    """The evacuated zones, and the age of what this host knows of them.

    Nothing may be sent while an evacuation may have been in force for too long
    without this host's knowledge.

    Parameters
    ----------
    table : EndpointTable
        Endpoints, of which those in evacuated zones get no requests.
    cold : ColdLimits
        Counts the endpoints of zones that were taken back as cold.

    Attributes
    ----------
    revision : int
        Revision of the zones, 0 without any.
    """

    __slots__ = ('_cold', '_confirmed_at', '_lease_s', '_table', 'revision')

    def __init__(self, table: EndpointTable, cold: ColdLimits) -> None:
        self._table = table
        self._cold = cold
        self._lease_s: float | None = None
        self._confirmed_at: float | None = None
        self.revision = 0

    def require_confirmation(self, lease_s: float | None) -> None:
        """Set for how long the zones may be used without confirmation.

        Parameters
        ----------
        lease_s : float or None
            Time in seconds; None if the leader does not know of evacuations.
        """
        self._lease_s = lease_s

    def confirm(self, confirmed_at: float) -> None:
        """Record that the zones were those of the leader at a time."""
        self._confirmed_at = confirmed_at

    def may_send(self, now: float) -> bool:
        """Return whether the zones are known well enough to send requests."""
        lease_s = self._lease_s
        if lease_s is None:
            return True
        confirmed_at = self._confirmed_at
        return confirmed_at is not None and now <= confirmed_at + lease_s

    def age_s(self, now: float) -> float | None:
        """Return the time since the last confirmation, None without one."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def replace(self, zones: EvacuatedZones, now: float) -> None:
        """Obey the zones of a sync reply that arrived at a time.

        The endpoints of a zone that was taken back may have become cold
        shortly before.
        """
        evacuated = frozenset(
            zone for zone, word in zones.zones.items() if word.is_evacuated
        )
        returned = {
            zone: now - word.age_s
            for zone, word in zones.zones.items()
            if self._is_returned(word)
        }
        self._cold.suspected_zones = {
            **_without(self._cold.suspected_zones, evacuated),
            **returned,
        }
        self._table.evacuate(evacuated)
        self.revision = zones.revision

    def forget_suspicions(self, listed_until: float, now: float) -> None:
        """Trust a list of endpoints that is newer than the return of a zone.

        Parameters
        ----------
        listed_until : float
            Up to when the list has every change, in seconds.
        now : float
            Time in seconds.
        """
        known_until = now - _MAX_SUSPECTED_S
        # Infinite while the age of the list is not known.
        if listed_until < math.inf:
            known_until = max(listed_until, known_until)
        self._cold.suspected_zones = {
            zone: returned_at
            for zone, returned_at in self._cold.suspected_zones.items()
            if returned_at > known_until
        }

    @property
    def has_suspicions(self) -> bool:
        """Whether endpoints of a zone that was taken back count as cold."""
        return bool(self._cold.suspected_zones)

    def _is_returned(self, word: ZoneStatus) -> bool:
        return not word.is_evacuated and word.revision > self.revision


def _without(
    zones: Mapping[str, float], excluded: frozenset[str]
) -> dict[str, float]:
    return {
        zone: returned_at
        for zone, returned_at in zones.items()
        if zone not in excluded
    }
