"""Zones in which no endpoints are ordered or released."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

# Time for which a zone stays closed after its evacuation. Its endpoints may be
# cold, and the others are not released before they can take its work again.
_REOPENING_S: Final = 10.0


class ClosedZones:
    """The evacuated zones, and those whose evacuation has just ended."""

    __slots__ = ('_closed_at',)

    def __init__(self) -> None:
        # When a zone was last seen to be evacuated, in seconds.
        self._closed_at: dict[str, float] = {}

    def update(self, evacuated: Collection[str], now: float) -> frozenset[str]:
        """Apply the evacuated zones; return those that are closed.

        Parameters
        ----------
        evacuated : collection of str
            Zones that are evacuated now.
        now : float
            Time in seconds.
        """
        self._closed_at.update(dict.fromkeys(evacuated, now))
        self._closed_at = {
            zone: closed_at
            for zone, closed_at in self._closed_at.items()
            if now < closed_at + _REOPENING_S
        }
        return frozenset(self._closed_at)
