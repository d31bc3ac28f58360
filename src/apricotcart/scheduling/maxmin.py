"""Weighted max-min fairness in whole slots."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from apricotcart.scheduling.decisions import Demand

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


def asked_by_tier(pool: str, demands: Mapping[str, Demand]) -> list[list[Bid]]:
    """Give the bids for queued and running requests, from the top tier."""
    return _bids(pool, demands, running=True)


def queued_by_tier(pool: str, demands: Mapping[str, Demand]) -> list[list[Bid]]:
    """Give the bids for queued requests alone, from the top tier."""
    return _bids(pool, demands, running=False)


def _bids(
    pool: str, demands: Mapping[str, Demand], *, running: bool
) -> list[list[Bid]]:
    tiers: dict[int, list[Bid]] = {}
    for host in sorted(demands):
        for entry in demands[host].tiers:
            asked = entry.queued + entry.in_flight * running
            if entry.pool == pool:
                bid = Bid(host, asked, entry.weight)
                tiers.setdefault(entry.tier, []).append(bid)
    return [tiers[number] for number in sorted(tiers)]
