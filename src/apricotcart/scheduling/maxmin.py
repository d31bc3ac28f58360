"""Weighted max-min fairness in whole slots."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from apricotcart.scheduling.decisions import Demand

_MIN_WEIGHT = 1e-6


class SlotDemand:
    """Slots that one host demands in one tier, and its weight."""

    __slots__ = ('host', 'slots', 'weight')

    def __init__(self, host: str, slots: int, weight: float) -> None:
        self.host = host
        self.slots = slots
        self.weight = max(weight, _MIN_WEIGHT)

    def sort_key(self) -> tuple[float, str]:
        """Return the demand per unit of weight, with the host as tie-break."""
        return self.slots / self.weight, self.host


def max_min(total: int, slot_demands: Sequence[SlotDemand]) -> dict[str, int]:
    """Divide ``total`` slots; no host gets more than it demands."""
    granted: dict[str, int] = {}
    remaining = total
    remaining_weight = sum(demand.weight for demand in slot_demands)
    # In ascending order of demand per weight, each host gets the lesser of
    # its demand and its proportional share of the remaining slots.
    for demand in sorted(slot_demands, key=SlotDemand.sort_key):
        proportional = (
            round(remaining * demand.weight / remaining_weight)
            if remaining_weight
            else 0
        )
        granted[demand.host] = min(demand.slots, proportional, remaining)
        remaining -= granted[demand.host]
        remaining_weight -= demand.weight
    return granted


def demand_by_tier(
    pool: str, demands: Mapping[str, Demand]
) -> list[list[SlotDemand]]:
    """Return the demand of queued and running requests, highest tier first."""
    return _demand_by_tier(pool, demands, include_running=True)


def queued_demand_by_tier(
    pool: str, demands: Mapping[str, Demand]
) -> list[list[SlotDemand]]:
    """Return the demand of queued requests only, highest tier first."""
    return _demand_by_tier(pool, demands, include_running=False)


def _demand_by_tier(
    pool: str, demands: Mapping[str, Demand], *, include_running: bool
) -> list[list[SlotDemand]]:
    tiers: dict[int, list[SlotDemand]] = {}
    for host in sorted(demands):
        for entry in demands[host].tiers:
            slots = entry.queued + entry.in_flight * include_running
            if entry.pool == pool:
                demand = SlotDemand(host, slots, entry.weight)
                tiers.setdefault(entry.tier, []).append(demand)
    return [tiers[number] for number in sorted(tiers)]
