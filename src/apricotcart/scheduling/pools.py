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
# A tier may save up this many dispatches of its minimum share.
MAX_CREDIT = 2.0
MAX_MIN_SHARE = 0.5
_RATE_WINDOW_S = 5.0
RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0


class Pool:
    """Queue, virtual times and minimum shares of one pool."""

    __slots__ = (
        'queue',
        'in_flight',
        'min_shares',
        'dirty',
        '_ledgers',
        '_credits',
        '_shed_at',
        '_rate',
        '_rate_at',
    )

    def __init__(
        self, max_queue: int, weight_of: Callable[[str], float]
    ) -> None:
        """Start empty."""
        self.queue = PoolQueue(max_queue, weight_of)
        self.in_flight: dict[int, int] = {}
        self.min_shares: dict[int, float] = {}
        self.dirty = False
        self._ledgers: dict[int, Ledger] = {}
        self._credits: dict[int, float] = {}
        self._shed_at: dict[int, float] = {}
        self._rate: float = 0
        self._rate_at: float = 0

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
            if self._is_due(now, number):
                tiers.insert(0, tiers.pop(position))
                break
        return tiers

    def on_dispatch(self, now: float, entry: Entry) -> None:
        """Count a dispatch and give credit to the tiers that wait."""
        tier = entry.tier
        self.in_flight[tier] = self.in_flight.get(tier, 0) + 1
        if self._credits.get(tier, 0) >= 1:
            self._credits[tier] -= 1
        for number, queue in self.queue.tiers.items():
            share = self.min_shares.get(number, 0)
            if not queue.size:
                self._credits.pop(number, None)
            elif number != tier and share:
                credit = self._credits.get(number, 0) + share / (1 - share)
                self._credits[number] = min(credit, MAX_CREDIT)
        self._count(now)

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
        age = max(0, now - self._rate_at)
        rate = self._rate * math.exp(-age / _RATE_WINDOW_S)
        drain_s = (self.queue.size + 1) / max(rate, 1 / RETRY_AFTER_MAX_S)
        return min(max(drain_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)

    def _is_due(self, now: float, tier: int) -> bool:
        if self._credits.get(tier, 0) < 1:
            return False
        return not any(
            number < tier and now - shed_at < SHED_HOLD_S
            for number, shed_at in self._shed_at.items()
        )

    def _count(self, now: float) -> None:
        age = max(0, now - self._rate_at)
        self._rate *= math.exp(-age / _RATE_WINDOW_S)
        self._rate += 1 / _RATE_WINDOW_S
        self._rate_at = now
