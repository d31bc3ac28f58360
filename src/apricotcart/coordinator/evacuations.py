"""Availability zones whose endpoints get no requests, as replicated state."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

# The zones of a message or a snapshot, by name.
WireZones = Mapping[str, Any]


class ZoneChange:
    """The last change of one zone.

    Attributes
    ----------
    is_evacuated : bool
        Whether the change began an evacuation; otherwise it ended one.
    revision : int
        Revision of the table after the change.
    """

    __slots__ = ('is_evacuated', 'revision')

    def __init__(self, *, is_evacuated: bool, revision: int) -> None:
        self.is_evacuated = is_evacuated
        self.revision = revision


class EvacuationTable:
    """All zones that have ever been evacuated, with the last change of each.

    The map of zones is replaced as a whole, so that other threads read it
    without a lock.

    Attributes
    ----------
    zones : dict of str to ZoneChange
        Last change by zone.
    """

    __slots__ = ('zones',)

    def __init__(self) -> None:
        self.zones: dict[str, ZoneChange] = {}

    @property
    def revision(self) -> int:
        """Number of changes, 0 without any."""
        return max(
            (change.revision for change in self.zones.values()), default=0
        )

    def evacuated(self) -> frozenset[str]:
        """Return the zones that are evacuated now."""
        return frozenset(
            zone for zone, change in self.zones.items() if change.is_evacuated
        )

    def change(self, zone: str, *, is_evacuated: bool) -> int:
        """Begin or end an evacuation.

        A request that was sent again finds the zone as it asks for and changes
        nothing.

        Returns
        -------
        int
            Revision from which on the zone is as requested.
        """
        known = self.zones.get(zone)
        if known is not None and known.is_evacuated == is_evacuated:
            return known.revision
        if known is None and not is_evacuated:
            return 0
        change = ZoneChange(
            is_evacuated=is_evacuated, revision=self.revision + 1
        )
        self.zones = {**self.zones, zone: change}
        return change.revision

    def to_wire(self) -> dict[str, Any]:
        """Return the zones in wire form."""
        return {
            zone: [change.is_evacuated, change.revision]
            for zone, change in self.zones.items()
        }

    def load(self, wire: WireZones) -> None:
        """Replace the zones by those of a snapshot."""
        self.zones = {
            zone: ZoneChange(is_evacuated=is_evacuated, revision=revision)
            for zone, (is_evacuated, revision) in wire.items()
        }
