"""Admission of new requests, and shedding from the lowest tier up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotcart.scheduling import decisions
from apricotcart.scheduling.entries import Entry

if TYPE_CHECKING:
    from apricotcart.scheduling.records import QueuedRequest
    from apricotcart.scheduling.tables import Tables

# Fraction of the estimated duration that must still fit before the deadline.
# Output lengths vary widely, so a request with less time may still finish.
DEADLINE_MARGIN = 0.5
# Fraction of the reclaim notice within which work on a spot endpoint must
# end.
NOTICE_MARGIN = 0.5


def admit(tables: Tables, now: float, req: QueuedRequest) -> None:
    """Queue the request, or shed it with a reason.

    A request that is already queued or running is ignored.
    """
    if tables.is_known(req.request_id):
        return
    service_class = tables.classes.get(req.class_name)
    if service_class is None:
        tables.shed(now, req, decisions.SHED_UNKNOWN_CLASS)
        return
    entry = Entry(req, service_class, now)
    entry.continue_from(tables.earlier_attempts.pop(req.request_id, None))
    if tables.suspects.is_quarantined(now, req.fingerprint):
        tables.shed(now, req, decisions.SHED_QUARANTINED, entry.run_state)
        return
    _apply_estimate(tables, entry)
    if entry.expire_at <= now:
        tables.shed(now, req, entry.expire_reason, entry.run_state)
        return
    tables.enqueue(entry)
    tables.pools[req.pool].on_arrival(now, entry.tier)
    _enforce_queue_bound(tables, now, req.pool)


def expire(tables: Tables, now: float) -> None:
    """Shed requests past their queue timeout or too late for their deadline."""
    entry = tables.pop_expired(now)
    while entry is not None:
        _shed_queued(tables, now, entry, entry.expire_reason)
        entry = tables.pop_expired(now)


def _apply_estimate(tables: Tables, entry: Entry) -> None:
    req = entry.req
    estimate = tables.history.estimate(req.customer, req.class_name)
    needed_s = DEADLINE_MARGIN * estimate.duration_s
    entry.expire_reason = decisions.SHED_MAX_WAIT
    if entry.deadline_at - needed_s < entry.expire_at:
        entry.expire_at = entry.deadline_at - needed_s
        entry.expire_reason = decisions.SHED_DEADLINE
    notice_s = NOTICE_MARGIN * tables.cfg.reclaim_notice_s
    is_short = estimate.samples > 0 and estimate.duration_s <= notice_s
    entry.cheap_allowed = req.resumable or is_short
    entry.suspect = tables.suspects.is_suspect(req.fingerprint)


def _enforce_queue_bound(tables: Tables, now: float, pool_name: str) -> None:
    queue = tables.pools[pool_name].queue
    while queue.size > queue.max_queue:
        shed_entry = queue.next_to_shed()
        if shed_entry is None:
            return
        _shed_queued(tables, now, shed_entry, decisions.SHED_QUEUE_FULL)


def _shed_queued(tables: Tables, now: float, entry: Entry, reason: str) -> None:
    tables.dequeue(entry)
    tables.pools[entry.req.pool].on_shed(now, entry.tier)
    tables.shed(now, entry.req, reason, entry.run_state)
