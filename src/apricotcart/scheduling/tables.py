"""Tables that the systems of the scheduler share."""

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

# Spread of Retry-After, so that refused callers do not return together.
_RETRY_AFTER_SPREAD = 0.25
_DEFAULT_WEIGHT = 1.0
_MAX_EARLIER = 4096

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
        'earlier',
        '_expiry',
        '_lateness',
        '_sequence',
    )

    def __init__(self, cfg: SchedulerConfig, rng: random.Random) -> None:
        """Start empty."""
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
        # What is known of attempts that may be retried.
        self.earlier: OrderedDict[str, Entry] = OrderedDict()
        self._expiry: _Timers = []
        self._lateness: _Timers = []
        self._sequence = 0

    def weight(self, customer: str) -> float:
        """Give the customer's weight in the fair share."""
        return self.weights.get(customer, _DEFAULT_WEIGHT)

    def pool(self, name: str) -> Pool:
        """Give the state of a pool."""
        pool = self.pools.get(name)
        if pool is None:
            bound = self.max_queues.get(name, self.cfg.max_queue)
            pool = Pool(name, bound, self.weight)
            pool.set_shares(self.classes.values())
            self.pools[name] = pool
        return pool

    def mark_dirty(self) -> None:
        """Let the next tick look at all pools."""
        for pool in self.pools.values():
            pool.dirty = True

    def enqueue(self, entry: Entry) -> None:
        """Put the entry in its queue."""
        pool = self.pool(entry.req.pool)
        ledger = pool.ledger(entry.tier)
        customer = entry.req.customer
        if pool.queue.has_backlog(entry.tier, customer):
            pool.queue.add(entry, ledger.used(customer))
        else:
            pool.queue.add(entry, ledger.activate(customer))
        pool.dirty = True
        self.queued[entry.request_id] = entry
        self._sequence += 1
        heapq.heappush(self._expiry, (entry.expire_at, self._sequence, entry))
        heapq.heappush(self._lateness, (entry.late_at, self._sequence, entry))

    def dequeue(self, entry: Entry) -> None:
        """Take the entry out of its queue."""
        self.pools[entry.req.pool].queue.remove(entry)
        self.queued.pop(entry.request_id)

    def keep_attempt(self, entry: Entry) -> None:
        """Remember the attempt for a retry of the request."""
        self.earlier[entry.request_id] = entry
        if len(self.earlier) > _MAX_EARLIER:
            self.earlier.popitem(last=False)

    def expired(self, now: float) -> Entry | None:
        """Give a queued entry whose time in the queue is over."""
        return self._due(self._expiry, now)

    def mark_late(self, now: float) -> None:
        """Put requests that miss their first-token target behind others."""
        entry = self._due(self._lateness, now)
        while entry is not None:
            pool = self.pools[entry.req.pool]
            pool.queue.remove(entry)
            entry.late = True
            ledger = pool.ledger(entry.tier)
            pool.queue.add(entry, ledger.used(entry.req.customer))
            entry = self._due(self._lateness, now)

    def is_known(self, request_id: str) -> bool:
        """Tell whether the request is queued or running."""
        return request_id in self.queued or request_id in self.running

    def shed(
        self,
        now: float,
        req: QueuedRequest,
        reason: str,
        run_state: str = NOT_RUN,
    ) -> None:
        """Note the decision to refuse a request."""
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

    def _due(self, timers: _Timers, now: float) -> Entry | None:
        while timers and timers[0][0] <= now:
            entry = heapq.heappop(timers)[2]
            if self.queued.get(entry.request_id) is entry:
                return entry
        return None
