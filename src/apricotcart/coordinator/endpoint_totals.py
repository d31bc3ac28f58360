"""Sums of what all gateways report about each endpoint."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

Figures = Mapping[str, Sequence[int]]
_Totals = dict[str, list[int]]


class EndpointTotals:
    """Sums of figures by endpoint.

    Each report is added and subtracted as a whole, so that the cost of a sync
    grows with the number of endpoints, not with the number of gateways.

    Parameters
    ----------
    size : int
        Number of figures of an endpoint.
    """

    __slots__ = ('_totals', '_zeros')

    def __init__(self, size: int) -> None:
        self._zeros = [0 for _ in range(size)]
        # Sums are replaced, never changed, so that copies may share them.
        self._totals: _Totals = {}

    def add(self, figures: Figures) -> None:
        """Add the figures of one gateway."""
        self._update(self._totals, figures, 1)

    def subtract(self, figures: Figures) -> None:
        """Subtract the figures of one gateway."""
        self._update(self._totals, figures, -1)

    def excluding(self, figures: Figures) -> dict[str, list[int]]:
        """Return the sums without the figures of one gateway."""
        totals = dict(self._totals)
        self._update(totals, figures, -1)
        return totals

    def positive(
        self, position: int, excluded: Figures
    ) -> dict[str, list[int]]:
        """Return the sums whose figure at a position is positive.

        The figures of one gateway are excluded.
        """
        totals = {
            name: total
            for name, total in self._totals.items()
            if total[position] > 0
        }
        own = {
            name: figures
            for name, figures in excluded.items()
            if name in totals
        }
        self._update(totals, own, -1)
        return {
            name: total for name, total in totals.items() if total[position] > 0
        }

    def _update(self, totals: _Totals, figures: Figures, sign: int) -> None:
        for name, added in figures.items():
            total = totals.get(name, self._zeros)
            changed = [
                known + sign * figure
                for known, figure in zip(total, added, strict=False)
            ]
            # An earlier build may send fewer figures, a later one more.
            changed.extend(total[len(changed) :])
            if any(changed):
                totals[name] = changed
            else:
                totals.pop(name, None)
