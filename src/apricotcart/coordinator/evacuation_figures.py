"""Tells the gateways which zones are evacuated, and learns who obeys."""

from __future__ import annotations

import threading

from apricotcart.coordinator.evacuations import EvacuationTable
from apricotcart.coordinator.exchange_messages import (
    EvacuatedZones,
    GatewayFigures,
    SharedFigures,
    ZoneStatus,
)
from apricotcart.coordinator.shared_figures import FigureStore
from apricotcart.coordinator.state_copies import StateCopies


class EvacuationFigures(FigureStore):
    """Sends the evacuated zones with each sync.

    Parameters
    ----------
    table : EvacuationTable
        Zones that the replicated log has applied.
    confirmed : StateCopies
        Learns which revision each gateway obeys.
    """

    __slots__ = ('_changed_at', '_confirmed', '_lock', '_table')

    def __init__(self, table: EvacuationTable, confirmed: StateCopies) -> None:
        self._table = table
        self._confirmed = confirmed
        self._lock = threading.Lock()
        # When this host first saw a change, by revision, in seconds. A new
        # leader takes all changes for recent ones.
        self._changed_at: dict[int, float] = {}

    def on_figures(
        self, incarnation: str, figures: GatewayFigures, now: float
    ) -> None:
        """Record the revision that a gateway obeys."""
        self._confirmed.update(incarnation, figures.evacuation_revision)

    def add_shared(
        self, incarnation: str, shared: SharedFigures, now: float
    ) -> None:
        """Set the zones with the age of their last change."""
        zones = self._table.zones
        with self._lock:
            self._changed_at = {
                change.revision: self._changed_at.get(change.revision, now)
                for change in zones.values()
            }
            words = {
                zone: ZoneStatus(
                    is_evacuated=change.is_evacuated,
                    revision=change.revision,
                    age_s=now - self._changed_at[change.revision],
                )
                for zone, change in zones.items()
            }
        shared.evacuations = EvacuatedZones(zones=words).to_wire()
