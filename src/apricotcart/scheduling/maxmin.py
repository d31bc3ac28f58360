"""Weighted max-min fairness in whole slots."""

from __future__ import annotations

from collections.abc import Sequence

_MIN_WEIGHT = 1e-6


class Bid:
    """What one host asks for in one tier."""

    __slots__ = ('host', 'asked', 'weight')

    def __init__(self, host: str, asked: int, weight: float) -> None:
        """Keep the fields."""
        self.host = host
        self.asked = asked
        self.weight = max(weight, _MIN_WEIGHT)

    def relative(self) -> tuple[float, str]:
        """Give the demand for the weight, and the host to break ties."""
        return self.asked / self.weight, self.host


def max_min(total: int, bids: Sequence[Bid]) -> dict[str, int]:
    """Divide ``total`` slots; no host gets more than it asks for."""
    granted: dict[str, int] = {}
    left = total
    weight = sum(bid.weight for bid in bids)
    # In ascending order of demand for its weight, each bid takes the lesser
    # of its demand and its part of what is left.
    for bid in sorted(bids, key=Bid.relative):
        part = round(left * bid.weight / weight) if weight else 0
        granted[bid.host] = min(bid.asked, part, left)
        left -= granted[bid.host]
        weight -= bid.weight
    return granted
