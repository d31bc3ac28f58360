"""Sums of the recent figures of all gateways, by group and name."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Final

from apricotcart.coordinator.endpoint_totals import EndpointTotals

# The figures of a gateway without a sync for this long no longer count.
_FIGURE_TTL_S: Final = 3.0

GroupedFigures = Mapping[str, Mapping[str, Sequence[int]]]
_NamedSums = dict[str, list[int]]
GroupedSums = dict[str, _NamedSums]


class FigureTotals:
    """Sums over the gateways whose figures are recent.

    Parameters
    ----------
    size : int
        Number of figures of one name.
    """

    __slots__ = ('_figures', '_received_at', '_size', '_totals')

    def __init__(self, size: int) -> None:
        self._size = size
        self._totals: dict[str, EndpointTotals] = {}
        self._figures: dict[str, GroupedFigures] = {}
        # In the order of time, so that the oldest come first.
        self._received_at: dict[str, float] = {}

    def replace(
        self, incarnation: str, figures: GroupedFigures, now: float
    ) -> None:
        """Replace the figures of one gateway and drop outdated ones."""
        self._drop(incarnation)
        self._figures[incarnation] = figures
        self._received_at[incarnation] = now
        for group, named in figures.items():
            totals = self._totals.get(group)
            if totals is None:
                totals = EndpointTotals(self._size)
                self._totals[group] = totals
            totals.add(named)
        self._drop_outdated(now)

    def excluding(self, incarnation: str) -> GroupedSums:
        """Return the sums without the figures of one gateway."""
        own = self._figures.get(incarnation, {})
        sums = {
            group: totals.excluding(own.get(group, {}))
            for group, totals in self._totals.items()
        }
        return {group: named for group, named in sums.items() if named}

    def _drop_outdated(self, now: float) -> None:
        outdated = []
        for incarnation, received_at in self._received_at.items():
            if received_at >= now - _FIGURE_TTL_S:
                break
            outdated.append(incarnation)
        for incarnation in outdated:
            self._drop(incarnation)

    def _drop(self, incarnation: str) -> None:
        self._received_at.pop(incarnation, None)
        figures = self._figures.pop(incarnation, {})
        for group, named in figures.items():
            self._totals[group].subtract(named)
