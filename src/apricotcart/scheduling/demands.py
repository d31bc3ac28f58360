"""Measurement of this host's demand for the control host."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from apricotcart.scheduling.decisions import Demand, TierDemand

if TYPE_CHECKING:
    from apricotcart.scheduling.tables import Tables

_Key = tuple[str, int]


def measure(tables: Tables) -> Demand:
    """Return the number of queued and running requests by pool and tier."""
    running = Counter(
        (entry.req.pool, entry.tier) for entry in tables.running.values()
    )
    customers = _active_customers(tables)
    return Demand(
        tiers=[
            TierDemand(
                pool=key[0],
                tier=key[1],
                queued=_count_queued(tables, key),
                in_flight=running[key],
                weight=sum(map(tables.weight, customers[key])),
            )
            for key in sorted(customers)
        ],
        running=tables.endpoints.running(),
    )


def _count_queued(tables: Tables, key: _Key) -> int:
    pool = tables.pools[key[0]]
    return pool.queue.size_of(key[1])


def _active_customers(tables: Tables) -> dict[_Key, set[str]]:
    customers: dict[_Key, set[str]] = {}
    for entry in tables.running.values():
        key = (entry.req.pool, entry.tier)
        customers.setdefault(key, set()).add(entry.req.customer)
    for name, pool in tables.pools.items():
        for tier, queue in pool.queue.backlogged():
            waiting = customers.setdefault((name, tier), set())
            waiting.update(queue.customers)
    return customers
