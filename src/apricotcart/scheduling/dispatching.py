"""Dispatch in tier order with fair queueing between customers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotcart.endpoints.selection import Requirements
from apricotcart.scheduling.decisions import Decision, Dispatch
from apricotcart.scheduling.entries import PROMPT_TOKEN_COST

if TYPE_CHECKING:
    from apricotcart.scheduling.entries import Entry
    from apricotcart.scheduling.pools import Pool
    from apricotcart.scheduling.queues import TierQueue
    from apricotcart.scheduling.tables import Tables


def dispatch_pool(tables: Tables, now: float, pool: Pool) -> list[Decision]:
    """Send queued requests of the pool to free endpoints."""
    dispatches: list[Decision] = []
    decision = _next_dispatch(tables, now, pool)
    while decision is not None:
        dispatches.append(decision)
        decision = _next_dispatch(tables, now, pool)
    # While slots are free, queued requests may become eligible as time
    # passes, without any event.
    free = tables.endpoints.free_slots(pool.name)
    pool.dirty = bool(free and pool.queue.size)
    return dispatches


def estimated_cost(tables: Tables, entry: Entry) -> float:
    """Return the tokens to charge at dispatch, before the length is known."""
    req = entry.req
    tokens = tables.history.estimate(req.customer, req.class_name).tokens
    if req.max_tokens:
        tokens = min(tokens, req.max_tokens)
    return tokens + PROMPT_TOKEN_COST * req.prompt_tokens


def charge(tables: Tables, entry: Entry, tokens: float) -> None:
    """Charge the customer and update its position in the queue."""
    pool = tables.pools[entry.req.pool]
    customer = entry.req.customer
    virtual_times = pool.virtual_times(entry.tier)
    virtual_time = virtual_times.charge(
        customer, tokens, tables.weight(customer)
    )
    entry.charged += tokens
    queue = pool.queue.tiers.get(entry.tier)
    if queue is not None:
        queue.update_virtual_time(customer, virtual_time)


def _next_dispatch(tables: Tables, now: float, pool: Pool) -> Decision | None:
    free = tables.endpoints.free_slots(pool.name)
    for tier, queue in pool.tiers_in_order(now):
        if free <= pool.reserved_slots(now, tier, free):
            continue
        decision = _dispatch_from_tier(tables, now, pool, queue)
        if decision is not None:
            return decision
    return None


def _dispatch_from_tier(
    tables: Tables, now: float, pool: Pool, queue: TierQueue[Entry]
) -> Decision | None:
    for lane in queue.lanes_in_order():
        entry = lane.first()
        if entry is None:
            continue
        endpoint = tables.endpoints.choose(
            now, _endpoint_requirements(tables, now, entry)
        )
        if endpoint is not None:
            return _dispatch(tables, now, entry, endpoint)
    return None


def _endpoint_requirements(
    tables: Tables, now: float, entry: Entry
) -> Requirements:
    req = entry.req
    return Requirements(
        pool=req.pool,
        model=req.model,
        cheap_allowed=entry.cheap_allowed,
        excluded=req.excluded_endpoints,
        holders=tables.prefixes.holders(now, req.customer, req.prefix_hash),
        isolated=entry.suspect,
    )


def _dispatch(
    tables: Tables, now: float, entry: Entry, endpoint: str
) -> Decision:
    pool = tables.pools[entry.req.pool]
    req = entry.req
    tables.dequeue(entry)
    pool.virtual_times(entry.tier).advance_floor(req.customer)
    pool.on_dispatch(now, entry)
    entry.endpoint = endpoint
    entry.dispatched_at = now
    tables.running[entry.request_id] = entry
    tables.endpoints.acquire(now, endpoint, suspect=entry.suspect)
    if req.prefix_hash:
        tables.prefixes.record_stored(
            now, endpoint, req.customer, req.prefix_hash
        )
    charge(tables, entry, estimated_cost(tables, entry))
    return Dispatch(request_id=entry.request_id, endpoint=endpoint)
