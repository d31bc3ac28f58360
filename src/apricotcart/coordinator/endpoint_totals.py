"""Sums of what all gateways report about each endpoint."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

Figures = Mapping[str, Iterable[int]]


class EndpointTotals:
    """Sums of figures by endpoint.

    Each report is added and subtracted as a whole, so that the cost of a sync
    grows with the number of endpoints, not with the number of gateways.

    Parameters
    ----------
    size : int
        Number of figures of an endpoint.
    """

    __slots__ = ('_size', '_totals')

    def __init__(self, size: int) -> None:
        self._size = size
        self._totals: dict[str, list[int]] = {}

    def add(self, figures: Figures) -> None:
        """Add the figures of one gateway."""
        self._update(self._totals, figures, 1)

    def subtract(self, figures: Figures) -> None:
        """Subtract the figures of one gateway."""
        self._update(self._totals, figures, -1)

    def excluding(self, figures: Figures) -> dict[str, list[int]]:
        """Return the sums without the figures of one gateway."""
        totals = {name: list(total) for name, total in self._totals.items()}
        self._update(totals, figures, -1)
        return totals

    def positive(
        self, position: int, excluded: Figures
    ) -> dict[str, list[int]]:
        """Return the sums whose figure at a position is positive.

        The figures of one gateway are excluded. Only these sums are copied,
        since they are few of many endpoints.
        """
        totals = {
            name: list(total)
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

    def _update(
        self, totals: dict[str, list[int]], figures: Figures, sign: int
    ) -> None:
        for name, added in figures.items():
            total = totals.setdefault(name, [0 for _ in range(self._size)])
            # A later build may send further figures.
            for position, figure in zip(range(self._size), added, strict=False):
                total[position] += sign * figure
            if not any(total):
                totals.pop(name)
