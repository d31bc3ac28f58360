"""Division of endpoint slots among hosts, on the control leader."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import TYPE_CHECKING

from apricotcart.endpoints.subsets import Subsets
from apricotcart.scheduling.dealing import Division, deal
from apricotcart.scheduling.maxmin import Bid, asked_by_tier, max_min

if TYPE_CHECKING:
    from apricotcart.endpoints.records import Endpoint
    from apricotcart.scheduling.decisions import Demand


def divide(
    demands: Mapping[str, Demand],
    endpoints: Iterable[Endpoint],
    subsets: dict[str, Subsets] | None = None,
) -> Division:
    """Divide the slots of all endpoints among the live hosts.

    Parameters
    ----------
    demands : mapping of str to Demand
        The last demand of each live host.
    endpoints : iterable of Endpoint
        All endpoints; draining ones are left out.

    subsets : dict of str to Subsets, optional
        Hosts of each endpoint by pool, kept from call to call, so that they
        are not computed anew for pools with many endpoints.

    Returns
    -------
    dict
        Slots by host and endpoint. The slots of one endpoint never add up
        to more than it has.
    """
    division: Division = {host: {} for host in demands}
    known = {} if subsets is None else subsets
    if not demands:
        return division
    for pool, members in by_pool(endpoints).items():
        total = sum(entry.slots for entry in members)
        counts = allot(pool, total, demands)
        chosen = known.setdefault(pool, Subsets())
        deal(counts, members, demands, division, chosen)
    return division


def by_pool(endpoints: Iterable[Endpoint]) -> dict[str, list[Endpoint]]:
    """Group the endpoints that take new work by pool."""
    pools: dict[str, list[Endpoint]] = {}
    for endpoint in endpoints:
        if not endpoint.leaving:
            pools.setdefault(endpoint.pool, []).append(endpoint)
    return pools


def allot(
    pool: str, total: int, demands: Mapping[str, Demand]
) -> dict[str, int]:
    """Give each host its number of slots in the pool.

    Each host first gets one slot, so that an idle host can send at once.
    Then the tiers are served from the top, each by weighted max-min
    fairness: a host that asks for less than its part gets all it asks for.
    Slots that nobody asks for are spread evenly.
    """
    counts = dict.fromkeys(sorted(demands), 0)
    counts.update(dict.fromkeys(list(counts)[:total], 1))
    covered = dict(counts)
    for bids in asked_by_tier(pool, demands):
        _grant(counts, total, _after_covered(bids, covered))
    _grant(counts, total, [Bid(host, total, 1) for host in counts])
    return counts


def _grant(counts: dict[str, int], total: int, bids: Sequence[Bid]) -> None:
    left = total - sum(counts.values())
    for host, slots in max_min(left, bids).items():
        counts[host] += slots


def _after_covered(bids: Sequence[Bid], covered: dict[str, int]) -> list[Bid]:
    """Take off what the host's guaranteed slot already covers."""
    wanted = []
    for bid in bids:
        used = min(bid.asked, covered[bid.host])
        covered[bid.host] -= used
        wanted.append(Bid(bid.host, bid.asked - used, bid.weight))
    return wanted
