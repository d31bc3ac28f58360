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

# Output beyond the estimate is charged in steps of this many tokens.
CHARGE_STEP = 32


class Scheduler:
    """Admits, queues, sheds and dispatches the requests of one host.

    Events change the tables; ``tick`` runs the systems over them and gives
    the decisions. ``tick`` may follow each event: its cost depends on the
    decisions that it gives, not on the number of queued requests.
    """

    def __init__(self, cfg: SchedulerConfig, rng: random.Random) -> None:
        """Start without configuration."""
        self._tables = Tables(cfg, rng)

    @classmethod
    def from_config(
        cls, cfg: SchedulerConfig, rng: random.Random | None = None
    ) -> Self:
        """Build a scheduler; ``rng`` is its only source of randomness."""
        return cls(cfg, rng or random.Random())

    @property
    def suspects(self) -> SuspectTable:
        """Suspects to report and merge through sync."""
        return self._tables.suspects

    def configure(
        self,
        now: float,
        classes: Iterable[ServiceClass],
        customers: Iterable[Customer],
        endpoints: Iterable[Endpoint],
        max_queues: Mapping[str, int] | None = None,
    ) -> None:
        """Apply the configuration copy.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        classes, customers, endpoints : iterable
            All configured records.
        max_queues : mapping of str to int, optional
            Bound of the queue by pool.
        """
        tables = self._tables
        tables.classes = {entry.name: entry for entry in classes}
        tables.weights = {entry.name: entry.weight for entry in customers}
        tables.max_queues = dict(max_queues or {})
        tables.endpoints.configure(now, endpoints)
        for name, pool in tables.pools.items():
            bound = tables.max_queues.get(name, tables.cfg.max_queue)
            pool.queue.max_queue = bound
            pool.set_shares(tables.classes.values())
            pool.dirty = True

    def submit(self, now: float, req: QueuedRequest) -> None:
        """Take a new request or a retry; ``tick`` gives the decision."""
        admission.admit(self._tables, now, req)

    def cancel(self, now: float, request_id: str) -> None:
        """Drop a queued request or end a running one."""
        entry = self._tables.queued.get(request_id)
        if entry is None:
            self.on_finish(now, request_id, outcomes.CANCELLED)
        else:
            self._tables.dequeue(entry)

    def on_first_byte(self, now: float, request_id: str) -> None:
        """Note the first byte of a response."""
        entry = self._tables.running.get(request_id)
        if entry is None or entry.first_byte_at:
            return
        entry.first_byte_at = now
        row = self._tables.endpoints.rows.get(entry.endpoint)
        if row is not None:
            row.limit.on_first_byte(now - entry.dispatched_at)

    def on_tokens(self, now: float, request_id: str, count: int) -> None:
        """Count output tokens; charge those beyond the estimate."""
        entry = self._tables.running.get(request_id)
        if entry is None:
            return
        entry.tokens += count
        over = entry.cost() - entry.charged
        if over >= CHARGE_STEP:
            dispatching.charge(self._tables, entry, over)

    def on_finish(self, now: float, request_id: str, outcome: str) -> None:
        """End a running request.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        request_id : str
            The request; unknown ones are ignored.
        outcome : str
            One of the constants of ``endpoints.outcomes``.
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
        _learn(tables, now, entry, outcome)

    def on_load_report(
        self, now: float, endpoint: str, report: LoadReport
    ) -> None:
        """Take in a late load report of an endpoint."""
        row = self._tables.endpoints.rows.get(endpoint)
        if row is not None:
            row.on_report(report)

    def on_cache_event(
        self, now: float, endpoint: str, event: CacheEvent
    ) -> None:
        """Take in a late cache event of an endpoint."""
        self._tables.prefixes.on_event(now, endpoint, event)

    def set_share(
        self,
        now: float,
        endpoint_limits: Mapping[str, int],
        isolation: Iterable[str] = (),
    ) -> None:
        """Apply the share from the sync reply.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        endpoint_limits : mapping of str to int
            This host's slots by endpoint, as ``shares.divide`` gives them.
        isolation : iterable of str, optional
            The endpoints on which this host may run suspects, as
            ``isolation.assign_isolation`` gives them.
        """
        self._tables.endpoints.isolation = frozenset(isolation)
        self._tables.endpoints.set_share(now, endpoint_limits)
        self._tables.mark_dirty()

    def tick(self, now: float) -> list[Decision]:
        """Run the systems and give the decisions."""
        tables = self._tables
        admission.expire(tables, now)
        tables.mark_late(now)
        if tables.endpoints.tick(now):
            self._tables.mark_dirty()
        made: list[Decision] = list(tables.sheds)
        tables.sheds.clear()
        for pool in tables.pools.values():
            if pool.dirty:
                made.extend(dispatching.dispatch_pool(tables, now, pool))
        return made

    def demand(self) -> Demand:
        """Give the queued and running requests by pool and tier."""
        return demands.measure(self._tables)


def _learn(tables: Tables, now: float, entry: Entry, outcome: str) -> None:
    fingerprint = entry.req.fingerprint
    if outcome == outcomes.CRASHED:
        tables.prefixes.forget_endpoint(now, entry.endpoint)
        row = tables.endpoints.rows.get(entry.endpoint)
        if row is not None and row.blames_requests():
            tables.suspects.on_crash(now, fingerprint, entry.endpoint)
    if outcome != outcomes.OK:
        entry.on_end(outcome)
        tables.keep_attempt(entry)
        return
    tables.suspects.on_finished(fingerprint)
    req = entry.req
    duration_s = now - entry.dispatched_at
    tables.history.add(req.customer, req.class_name, entry.tokens, duration_s)
    row = tables.endpoints.rows.get(entry.endpoint)
    if row is not None and entry.tokens and entry.first_byte_at:
        row.on_pace((now - entry.first_byte_at) / entry.tokens)
