"""State shared by the parts of the scheduler."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

from apricotcart.endpoints.affinity import PrefixTable
from apricotcart.endpoints.suspects import SuspectTable
from apricotcart.endpoints.table import EndpointTable
from apricotcart.errors.tree import NOT_RUN
from apricotcart.scheduling.decisions import Shed
from apricotcart.scheduling.history import History
from apricotcart.scheduling.pools import Pool

if TYPE_CHECKING:
    import random

    from apricotcart.scheduling.config import SchedulerConfig
    from apricotcart.scheduling.entries import Entry
    from apricotcart.scheduling.records import QueuedRequest, ServiceClass

# Random spread of Retry-After, so that shed callers do not all retry
# at the same time.
_RETRY_AFTER_SPREAD = 0.25
_DEFAULT_WEIGHT = 1.0
_MAX_EARLIER_ATTEMPTS = 4096

_Timers = list[tuple[float, int, 'Entry']]


class Tables:
    """Configuration, queued and running requests, pools and endpoints."""

    __slots__ = (
        'cfg',
        'rng',
        'endpoints',
        'prefixes',
        'suspects',
        'history',
        'classes',
        'weights',
        'max_queues',
        'pools',
        'queued',
        'running',
        'sheds',
        'earlier_attempts',
        '_expiry_timers',
        '_late_timers',
        '_sequence',
    )

    def __init__(self, cfg: SchedulerConfig, rng: random.Random) -> None:
        self.cfg = cfg
        self.rng = rng
        self.endpoints = EndpointTable(cfg.zone, rng)
        self.prefixes = PrefixTable()
        self.suspects = SuspectTable()
        self.history = History()
        self.classes: dict[str, ServiceClass] = {}
        self.weights: dict[str, float] = {}
        self.max_queues: dict[str, int] = {}
        self.pools: dict[str, Pool] = {}
        self.queued: dict[str, Entry] = {}
        self.running: dict[str, Entry] = {}
        self.sheds: list[Shed] = []
        # Failed attempts whose requests may be retried, oldest first.
        self.earlier_attempts: OrderedDict[str, Entry] = OrderedDict()
        self._expiry_timers: _Timers = []
        self._late_timers: _Timers = []
        self._sequence = 0

    def weight(self, customer: str) -> float:
        """Return the customer's weight in fair queueing."""
        return self.weights.get(customer, _DEFAULT_WEIGHT)

    def pool(self, name: str) -> Pool:
        """Return the state of a pool, created on first use."""
        pool = self.pools.get(name)
        if pool is None:
            bound = self.max_queues.get(name, self.cfg.max_queue)
            pool = Pool(name, bound, self.weight)
            pool.apply_min_shares(self.classes.values())
            self.pools[name] = pool
        return pool

    def mark_dirty(self) -> None:
        """Make the next tick try to dispatch from all pools."""
        for pool in self.pools.values():
            pool.dirty = True

    def enqueue(self, entry: Entry) -> None:
        """Add the entry to its queue and start its timers."""
        pool = self.pool(entry.req.pool)
        virtual_times = pool.virtual_times(entry.tier)
        customer = entry.req.customer
        if pool.queue.has_backlog(entry.tier, customer):
            pool.queue.add(entry, virtual_times.time_of(customer))
        else:
            pool.queue.add(entry, virtual_times.activate(customer))
        pool.dirty = True
        self.queued[entry.request_id] = entry
        self._sequence += 1
        heapq.heappush(
            self._expiry_timers, (entry.expire_at, self._sequence, entry)
        )
        heapq.heappush(
            self._late_timers, (entry.late_at, self._sequence, entry)
        )

    def dequeue(self, entry: Entry) -> None:
        """Remove the entry from its queue."""
        self.pools[entry.req.pool].queue.remove(entry)
        self.queued.pop(entry.request_id)

    def remember_attempt(self, entry: Entry) -> None:
        """Keep a failed attempt for a retry of the request."""
        self.earlier_attempts[entry.request_id] = entry
        if len(self.earlier_attempts) > _MAX_EARLIER_ATTEMPTS:
            self.earlier_attempts.popitem(last=False)

    def pop_expired(self, now: float) -> Entry | None:
        """Return a queued entry that can no longer be served in time."""
        return self._pop_due(self._expiry_timers, now)

    def mark_late(self, now: float) -> None:
        """Move requests past their first-token target behind the others."""
        entry = self._pop_due(self._late_timers, now)
        while entry is not None:
            pool = self.pools[entry.req.pool]
            pool.queue.remove(entry)
            entry.late = True
            virtual_times = pool.virtual_times(entry.tier)
            pool.queue.add(entry, virtual_times.time_of(entry.req.customer))
            entry = self._pop_due(self._late_timers, now)

    def is_known(self, request_id: str) -> bool:
        """Return whether the request is queued or running."""
        return request_id in self.queued or request_id in self.running

    def shed(
        self,
        now: float,
        req: QueuedRequest,
        reason: str,
        run_state: str = NOT_RUN,
    ) -> None:
        """Record the decision to shed a request."""
        retry_after_s = self.pool(req.pool).retry_after_s(now)
        spread = 1 + _RETRY_AFTER_SPREAD * self.rng.random()
        self.sheds.append(
            Shed(
                request_id=req.request_id,
                reason=reason,
                retry_after_s=retry_after_s * spread,
                run_state=run_state,
            )
        )

    def _pop_due(self, timers: _Timers, now: float) -> Entry | None:
        while timers and timers[0][0] <= now:
            entry = heapq.heappop(timers)[2]
            if self.queued.get(entry.request_id) is entry:
                return entry
        return None
