"""The scheduler of one entry host."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Self

from apricotcart.endpoints import outcomes
from apricotcart.scheduling import admission, demands, dispatching
from apricotcart.scheduling.config import SchedulerConfig
from apricotcart.scheduling.tables import Tables

if TYPE_CHECKING:
    from apricotcart.endpoints.records import (
        CacheEvent,
        Endpoint,
        LoadReport,
    )
    from apricotcart.endpoints.suspects import SuspectTable
    from apricotcart.scheduling.decisions import Decision, Demand
    from apricotcart.scheduling.entries import Entry
    from apricotcart.scheduling.records import (
        Customer,
        QueuedRequest,
        ServiceClass,
    )

# Output tokens beyond the estimate are charged in steps of this size.
CHARGE_STEP = 32


class Scheduler:
    """Admits, queues, sheds and dispatches the requests of one host.

    Events change the tables; ``tick`` evaluates them and returns the
    decisions. ``tick`` may be called after each event: its cost depends on
    the number of decisions, not on the number of queued requests.
    """

    def __init__(self, cfg: SchedulerConfig, rng: random.Random) -> None:
        self._tables = Tables(cfg, rng)

    @classmethod
    def from_config(
        cls, cfg: SchedulerConfig, rng: random.Random | None = None
    ) -> Self:
        """Build a scheduler; ``rng`` is its only source of randomness."""
        return cls(cfg, rng or random.Random())

    @property
    def suspects(self) -> SuspectTable:
        """Table of suspects, reported and merged through sync."""
        return self._tables.suspects

    def configure(
        self,
        now: float,
        classes: Iterable[ServiceClass],
        customers: Iterable[Customer],
        endpoints: Iterable[Endpoint],
        max_queues: Mapping[str, int] | None = None,
    ) -> None:
        """Apply a new configuration.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        classes, customers, endpoints : iterable
            All configured records.
        max_queues : mapping of str to int, optional
            Queue bound by pool.
        """
        tables = self._tables
        tables.classes = {entry.name: entry for entry in classes}
        tables.weights = {entry.name: entry.weight for entry in customers}
        tables.max_queues = dict(max_queues or {})
        tables.endpoints.configure(now, endpoints)
        for name, pool in tables.pools.items():
            bound = tables.max_queues.get(name, tables.cfg.max_queue)
            pool.queue.max_queue = bound
            pool.apply_min_shares(tables.classes.values())
            pool.dirty = True

    def submit(self, now: float, req: QueuedRequest) -> None:
        """Submit a new request or a retry; ``tick`` returns the decision."""
        admission.admit(self._tables, now, req)

    def cancel(self, now: float, request_id: str) -> None:
        """Remove a queued request or end a running one."""
        entry = self._tables.queued.get(request_id)
        if entry is None:
            self.on_finish(now, request_id, outcomes.CANCELLED)
        else:
            self._tables.dequeue(entry)

    def on_first_byte(self, now: float, request_id: str) -> None:
        """Record the arrival of the first byte of a response."""
        entry = self._tables.running.get(request_id)
        if entry is None or entry.first_byte_at:
            return
        entry.first_byte_at = now
        endpoint_state = self._tables.endpoints.states.get(entry.endpoint)
        if endpoint_state is not None:
            endpoint_state.limit.on_first_byte(now - entry.dispatched_at)

    def on_tokens(self, now: float, request_id: str, count: int) -> None:
        """Count output tokens; charge those beyond the estimate."""
        entry = self._tables.running.get(request_id)
        if entry is None:
            return
        entry.tokens += count
        uncharged = entry.cost() - entry.charged
        if uncharged >= CHARGE_STEP:
            dispatching.charge(self._tables, entry, uncharged)

    def on_finish(self, now: float, request_id: str, outcome: str) -> None:
        """End a running request.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        request_id : str
            The request; unknown ones are ignored.
        outcome : str
            One of the constants in ``endpoints.outcomes``.
        """
        tables = self._tables
        entry = tables.running.pop(request_id, None)
        if entry is None:
            return
        pool = tables.pools[entry.req.pool]
        pool.on_end(entry)
        pool.dirty = True
        dispatching.charge(tables, entry, entry.cost() - entry.charged)
        tables.endpoints.release(
            now, entry.endpoint, outcome, suspect=entry.suspect
        )
        _record_outcome(tables, now, entry, outcome)

    def on_load_report(
        self, now: float, endpoint: str, report: LoadReport
    ) -> None:
        """Apply a load report of an endpoint, which may be outdated."""
        endpoint_state = self._tables.endpoints.states.get(endpoint)
        if endpoint_state is not None:
            endpoint_state.on_report(report)

    def on_cache_event(
        self, now: float, endpoint: str, event: CacheEvent
    ) -> None:
        """Apply a cache event of an endpoint, which may be late."""
        self._tables.prefixes.on_event(now, endpoint, event)

    def set_slot_limits(
        self,
        now: float,
        endpoint_limits: Mapping[str, int],
        isolation: Iterable[str] = (),
    ) -> None:
        """Apply this host's share of endpoint slots from the sync reply.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        endpoint_limits : mapping of str to int
            This host's slots by endpoint, as returned by
            ``shares.divide_slots``.
        isolation : iterable of str, optional
            The endpoints on which this host may run suspects, as returned
            by ``isolation.assign_isolation``.
        """
        self._tables.endpoints.isolation_endpoints = frozenset(isolation)
        self._tables.endpoints.set_slot_limits(now, endpoint_limits)
        self._tables.mark_dirty()

    def tick(self, now: float) -> list[Decision]:
        """Expire, shed and dispatch requests and return the decisions."""
        tables = self._tables
        admission.expire(tables, now)
        tables.mark_late(now)
        if tables.endpoints.tick(now):
            self._tables.mark_dirty()
        decisions: list[Decision] = list(tables.sheds)
        tables.sheds.clear()
        for pool in tables.pools.values():
            if pool.dirty:
                decisions.extend(dispatching.dispatch_pool(tables, now, pool))
        return decisions

    def demand(self) -> Demand:
        """Return the number of queued and running requests by pool and tier."""
        return demands.measure(self._tables)


def _record_outcome(
    tables: Tables, now: float, entry: Entry, outcome: str
) -> None:
    fingerprint = entry.req.fingerprint
    if outcome == outcomes.CRASHED:
        tables.prefixes.invalidate_endpoint(now, entry.endpoint)
        endpoint_state = tables.endpoints.states.get(entry.endpoint)
        if (
            endpoint_state is not None
            and endpoint_state.is_crash_attributable()
        ):
            tables.suspects.on_crash(now, fingerprint, entry.endpoint)
    if outcome != outcomes.OK:
        entry.on_end(outcome)
        tables.remember_attempt(entry)
        return
    tables.suspects.on_finished(fingerprint)
    req = entry.req
    duration_s = now - entry.dispatched_at
    tables.history.add(req.customer, req.class_name, entry.tokens, duration_s)
    endpoint_state = tables.endpoints.states.get(entry.endpoint)
    if endpoint_state is not None and entry.tokens and entry.first_byte_at:
        endpoint_state.on_inter_token_latency(
            (now - entry.first_byte_at) / entry.tokens
        )
