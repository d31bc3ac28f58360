"""State of one pool in the scheduler."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from apricotcart.scheduling.ledger import Ledger
from apricotcart.scheduling.queues import PoolQueue, TierQueue

if TYPE_CHECKING:
    from apricotcart.scheduling.entries import Entry
    from apricotcart.scheduling.records import ServiceClass

# After a higher tier was shed for overload, lower tiers lose their minimum
# share for this time, in seconds.
SHED_HOLD_S = 1.0
# A class that waits is served at least once in this time, in seconds, also
# while a higher tier is shed: overload that lasts must not starve it.
STARVATION_S = 10.0
# A tier may save up this many dispatches of its minimum share.
MAX_CREDIT = 2.0
MAX_MIN_SHARE = 0.5
_RATE_WINDOW_S = 5.0
# Free slots that lower tiers leave to higher ones that arrive at least at
# RESERVE_RATE requests a second, on a host with RESERVE_MIN_SLOTS or more.
# With two slots the lower classes lost 6 to 8 points of attainment.
RESERVE = 1
RESERVE_RATE = 0.1
RESERVE_MIN_SLOTS = 4
RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0


class DecayingRate:
    """Events per second over a decaying window."""

    __slots__ = ('_rate', '_counted_at')

    def __init__(self) -> None:
        """Start without events."""
        self._rate: float = 0
        self._counted_at: float = 0

    def add(self, now: float) -> None:
        """Count an event."""
        self._rate = self.per_second(now) + 1 / _RATE_WINDOW_S
        self._counted_at = now

    def per_second(self, now: float) -> float:
        """Give the rate."""
        age_s = max(0, now - self._counted_at)
        return self._rate * math.exp(-age_s / _RATE_WINDOW_S)


class Pool:
    """Queue, virtual times and minimum shares of one pool."""

    __slots__ = (
        'name',
        'queue',
        'in_flight',
        'min_shares',
        'dirty',
        '_ledgers',
        '_credits',
        '_served_at',
        '_shed_at',
        '_rate',
        '_arrivals',
    )

    def __init__(
        self, name: str, max_queue: int, weight_of: Callable[[str], float]
    ) -> None:
        """Start empty."""
        self.name = name
        self.queue = PoolQueue(max_queue, weight_of)
        self.in_flight: dict[int, int] = {}
        self.min_shares: dict[int, float] = {}
        self.dirty = False
        self._ledgers: dict[int, Ledger] = {}
        self._credits: dict[int, float] = {}
        self._shed_at: dict[int, float] = {}
        self._served_at: dict[int, float] = {}
        self._rate = DecayingRate()
        self._arrivals: dict[int, DecayingRate] = {}

    def set_shares(self, classes: Iterable[ServiceClass]) -> None:
        """Apply the minimum shares; classes of one tier add up."""
        self.min_shares = {}
        for entry in classes:
            share = self.min_shares.get(entry.tier, 0) + entry.min_share
            self.min_shares[entry.tier] = min(share, MAX_MIN_SHARE)

    def ledger(self, tier: int) -> Ledger:
        """Give the virtual times of a tier."""
        ledger = self._ledgers.get(tier)
        if ledger is None:
            ledger = Ledger()
            self._ledgers[tier] = ledger
        return ledger

    def tiers_in_order(self, now: float) -> list[tuple[int, TierQueue]]:
        """Give the backlogged tiers in the order of dispatch.

        A tier whose minimum share is due comes first; then strict order.
        """
        tiers = list(self.queue.backlogged())
        for position, (number, _) in enumerate(tiers):
            if self.is_due(now, number):
                tiers.insert(0, tiers.pop(position))
                break
        return tiers

    def on_arrival(self, now: float, tier: int) -> None:
        """Count an arrival; the first of a backlog starts its wait."""
        backlog = self.queue.tiers.get(tier)
        if backlog is None or backlog.size <= 1:
            self._served_at[tier] = now
        rate = self._arrivals.setdefault(tier, DecayingRate())
        rate.add(now)

    def reserve(self, now: float, tier: int, free: int) -> int:
        """Give the free slots that the tier must leave to higher ones."""
        slots = free + sum(self.in_flight.values())
        if slots < RESERVE_MIN_SLOTS or self.is_due(now, tier):
            return 0
        expected = sum(
            rate.per_second(now)
            for number, rate in self._arrivals.items()
            if number < tier
        )
        return RESERVE if expected >= RESERVE_RATE else 0

    def on_dispatch(self, now: float, entry: Entry) -> None:
        """Count a dispatch and give credit to the tiers that wait."""
        tier = entry.tier
        self.in_flight[tier] = self.in_flight.get(tier, 0) + 1
        self._served_at[tier] = now
        if self._credits.get(tier, 0) >= 1:
            self._credits[tier] -= 1
        for number, queue in self.queue.tiers.items():
            share = self.min_shares.get(number, 0)
            if not queue.size:
                self._credits.pop(number, None)
            elif number != tier and share:
                credit = self._credits.get(number, 0) + share / (1 - share)
                self._credits[number] = min(credit, MAX_CREDIT)
        self._rate.add(now)

    def on_end(self, entry: Entry) -> None:
        """Count a request that no longer runs."""
        self.in_flight[entry.tier] -= 1
        if not self.in_flight[entry.tier]:
            self.in_flight.pop(entry.tier)

    def on_shed(self, now: float, tier: int) -> None:
        """Note that the tier was shed for overload."""
        self._shed_at[tier] = now

    def retry_after_s(self, now: float) -> float:
        """Give the time in which the queue probably drains, in seconds."""
        rate = max(self._rate.per_second(now), 1 / RETRY_AFTER_MAX_S)
        drain_s = (self.queue.size + 1) / rate
        return min(max(drain_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)

    def is_due(self, now: float, tier: int) -> bool:
        """Tell whether the tier goes before higher ones."""
        if now - self._served_at.get(tier, now) >= STARVATION_S:
            return True
        if self._credits.get(tier, 0) < 1:
            return False
        return not any(
            number < tier and now - shed_at < SHED_HOLD_S
            for number, shed_at in self._shed_at.items()
        )
