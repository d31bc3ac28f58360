"""Division of endpoint slots among entry hosts, on the control leader."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import TYPE_CHECKING

from apricotcart.endpoints.subsets import Subsets
from apricotcart.scheduling.maxmin import SlotDemand, demand_by_tier, max_min
from apricotcart.scheduling.slot_assignment import SlotDivision, assign_slots

if TYPE_CHECKING:
    from apricotcart.endpoints.records import Endpoint
    from apricotcart.scheduling.decisions import Demand


def divide_slots(
    demands: Mapping[str, Demand],
    endpoints: Iterable[Endpoint],
    subsets: dict[str, Subsets] | None = None,
) -> SlotDivision:
    """Divide the slots of all endpoints among the live hosts.

    Parameters
    ----------
    demands : mapping of str to Demand
        The last demand of each live host.
    endpoints : iterable of Endpoint
        All endpoints; draining ones get no slots.
    subsets : dict of str to Subsets, optional
        Hosts of each endpoint by pool, cached between calls, because they
        are costly to compute for pools with many endpoints.

    Returns
    -------
    dict
        Slots by host and endpoint. The assigned slots of an endpoint never
        exceed its capacity.
    """
    division: SlotDivision = {host: {} for host in demands}
    subsets_by_pool = {} if subsets is None else subsets
    if not demands:
        return division
    for pool, pool_endpoints in endpoints_by_pool(endpoints).items():
        total = sum(entry.slots for entry in pool_endpoints)
        counts = allocate(pool, total, demands)
        pool_subsets = subsets_by_pool.setdefault(pool, Subsets())
        assign_slots(counts, pool_endpoints, demands, division, pool_subsets)
    return division


def endpoints_by_pool(
    endpoints: Iterable[Endpoint],
) -> dict[str, list[Endpoint]]:
    """Group the endpoints that accept new work by pool."""
    pools: dict[str, list[Endpoint]] = {}
    for endpoint in endpoints:
        if not endpoint.leaving:
            pools.setdefault(endpoint.pool, []).append(endpoint)
    return pools


def allocate(
    pool: str, total: int, demands: Mapping[str, Demand]
) -> dict[str, int]:
    """Return the number of slots of each host in the pool.

    Each host first gets one slot, so that an idle host can dispatch its
    first request at once. Then the tiers are served from the highest down,
    each by weighted max-min fairness: a host that demands less than its
    share gets all it demands. Slots without demand are spread evenly.
    """
    counts = dict.fromkeys(sorted(demands), 0)
    counts.update(dict.fromkeys(list(counts)[:total], 1))
    guaranteed = dict(counts)
    for slot_demands in demand_by_tier(pool, demands):
        _grant(counts, total, _subtract_guaranteed(slot_demands, guaranteed))
    _grant(counts, total, [SlotDemand(host, total, 1) for host in counts])
    return counts


def _grant(
    counts: dict[str, int], total: int, slot_demands: Sequence[SlotDemand]
) -> None:
    remaining = total - sum(counts.values())
    for host, slots in max_min(remaining, slot_demands).items():
        counts[host] += slots


def _subtract_guaranteed(
    slot_demands: Sequence[SlotDemand], guaranteed: dict[str, int]
) -> list[SlotDemand]:
    """Subtract the demand that the hosts' guaranteed slots already cover."""
    unsatisfied = []
    for slot_demand in slot_demands:
        satisfied = min(slot_demand.slots, guaranteed[slot_demand.host])
        guaranteed[slot_demand.host] -= satisfied
        unsatisfied.append(
            SlotDemand(
                slot_demand.host,
                slot_demand.slots - satisfied,
                slot_demand.weight,
            )
        )
    return unsatisfied
