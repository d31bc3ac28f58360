"""Obeys the evacuations that the leader names with each sync."""

from __future__ import annotations

from typing import Final

from apricotcart.coordinator.exchange_messages import (
    EvacuatedZones,
    GatewayFigures,
    SharedFigures,
)
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.dispatching.evacuations import Evacuations
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.shared_figures import FigureUser
from apricotcart.observability.decisions import (
    ENDPOINTS_COLD,
    EVACUATIONS_IN_FORCE,
    EVACUATIONS_OUTDATED,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s

# Time between two syncs while this host does not know the evacuated zones and
# requests wait for them.
_FIRST_INTERVAL_S: Final = 0.08


class ZoneObserver(FigureUser):
    """Applies the evacuated zones to the placement.

    Parameters
    ----------
    dispatcher : Dispatcher
        Places requests.
    evacuations : Evacuations
        Evacuated zones of its placement.
    lease_s : float
        Time in seconds for which the zones may be used after a leader last
        confirmed them.
    """

    __slots__ = (
        '_cold_endpoints',
        '_dispatcher',
        '_evacuations',
        '_is_known',
        '_lease_s',
        '_revision',
    )

    def __init__(
        self, dispatcher: Dispatcher, evacuations: Evacuations, lease_s: float
    ) -> None:
        self._cold_endpoints = 0
        self._dispatcher = dispatcher
        self._evacuations = evacuations
        self._lease_s = lease_s
        self._is_known = False
        self._revision = 0

    def interval_s(self, interval_s: float) -> float:
        """Return the time to the next sync, at most the usual one."""
        self._log_age()
        return (
            interval_s if self._is_known else min(interval_s, _FIRST_INTERVAL_S)
        )

    def on_leader(self, *, is_understood: bool) -> None:
        """Require confirmation by a leader that knows of evacuations."""
        lease_s = self._lease_s if is_understood else None
        self._is_known |= not is_understood
        self._evacuations.require_confirmation(lease_s)

    def add_figures(self, figures: GatewayFigures, now: float) -> None:
        """Report the revision that this host obeys."""
        figures.evacuation_revision = self._revision

    def apply_figures(self, shared: SharedFigures, requested_at: float) -> None:
        """Obey the zones, and record that they were confirmed."""
        zones = EvacuatedZones.from_wire(shared.evacuations)
        now = boot_clock_s()
        self._dispatcher.update_placement(
            lambda placement: self._apply(placement, zones, requested_at, now),
        )
        if zones.revision != self._revision:
            log_decision(
                EVACUATIONS_IN_FORCE,
                revision=zones.revision,
                evacuated=_names(zones, is_evacuated=True),
                returned=_names(zones, is_evacuated=False),
            )
        self._revision = zones.revision
        self._is_known = True

    def _log_age(self) -> None:
        now = boot_clock_s()
        if self._is_known and not self._evacuations.may_send(now):
            log_decision(
                EVACUATIONS_OUTDATED, state_age_s=self._evacuations.age_s(now)
            )

    def _apply(
        self,
        placement: Placement,
        zones: EvacuatedZones,
        requested_at: float,
        now: float,
    ) -> None:
        evacuations = self._evacuations
        evacuations.confirm(requested_at)
        if zones.revision != evacuations.revision:
            evacuations.replace(zones, now)
        if evacuations.has_suspicions:
            evacuations.forget_suspicions(self._dispatcher.listed_until, now)
        cold = placement.limits.cold
        self._log_cold(cold.count_limited(placement.endpoints(), now))

    def _log_cold(self, count: int) -> None:
        if count != self._cold_endpoints:
            log_decision(ENDPOINTS_COLD, count=count)
        self._cold_endpoints = count


def _names(zones: EvacuatedZones, *, is_evacuated: bool) -> str:
    return ' '.join(
        zone
        for zone, word in zones.zones.items()
        if word.is_evacuated == is_evacuated
    )
