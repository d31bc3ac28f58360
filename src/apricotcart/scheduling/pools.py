"""State of one pool in the scheduler."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from apricotcart.scheduling.queues import PoolQueue, TierQueue
from apricotcart.scheduling.virtual_time import VirtualTimes

if TYPE_CHECKING:
    from apricotcart.scheduling.entries import Entry
    from apricotcart.scheduling.records import ServiceClass

# Seconds for which lower tiers lose their minimum share after a higher tier
# was shed for overload.
SHED_HOLD_S = 1.0
# A backlogged tier is served at least once in this many seconds, even while
# a higher tier is shed: lasting overload must not starve it.
STARVATION_S = 10.0
# Upper bound, in dispatches, of the credit that a tier may accumulate from
# its minimum share.
MAX_CREDIT = 2.0
MAX_MIN_SHARE = 0.5
_RATE_WINDOW_S = 5.0
# Free slots that lower tiers leave to higher tiers that receive at least
# RESERVE_RATE requests per second, on a host with at least RESERVE_MIN_SLOTS
# slots. Reserving two slots cost the lower classes 6 to 8 percentage points
# of target attainment.
RESERVED_SLOTS = 1
RESERVE_RATE = 0.1
RESERVE_MIN_SLOTS = 4
RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0

_NumberedTier = tuple[int, TierQueue['Entry']]


class DecayingRate:
    """Events per second over an exponentially decaying window."""

    __slots__ = ('_rate', '_counted_at')

    def __init__(self) -> None:
        self._rate: float = 0
        self._counted_at: float = 0

    def add(self, now: float) -> None:
        """Count an event."""
        self._rate = self.per_second(now) + 1 / _RATE_WINDOW_S
        self._counted_at = now

    def per_second(self, now: float) -> float:
        """Return the rate at the time ``now``."""
        age_s = max(0, now - self._counted_at)
        return self._rate * math.exp(-age_s / _RATE_WINDOW_S)


class Pool:
    """Queue, virtual times and minimum shares of one pool on this host.

    ``dirty`` is set when the next tick must try to dispatch from the pool.
    """

    __slots__ = (
        'name',
        'queue',
        'in_flight',
        'min_shares',
        'dirty',
        '_virtual_times',
        '_credits',
        '_served_at',
        '_shed_at',
        '_dispatch_rate',
        '_arrival_rates',
    )

    def __init__(
        self, name: str, max_queue: int, weight_of: Callable[[str], float]
    ) -> None:
        self.name = name
        self.queue: PoolQueue[Entry] = PoolQueue(max_queue, weight_of)
        self.in_flight: dict[int, int] = {}
        self.min_shares: dict[int, float] = {}
        self.dirty = False
        self._virtual_times: dict[int, VirtualTimes] = {}
        self._credits: dict[int, float] = {}
        self._shed_at: dict[int, float] = {}
        self._served_at: dict[int, float] = {}
        self._dispatch_rate = DecayingRate()
        self._arrival_rates: dict[int, DecayingRate] = {}

    def apply_min_shares(self, classes: Iterable[ServiceClass]) -> None:
        """Set the minimum share of each tier to the sum over its classes.

        The sum is capped at ``MAX_MIN_SHARE``.
        """
        self.min_shares = {}
        for entry in classes:
            share = self.min_shares.get(entry.tier, 0) + entry.min_share
            self.min_shares[entry.tier] = min(share, MAX_MIN_SHARE)

    def virtual_times(self, tier: int) -> VirtualTimes:
        """Return the virtual times of a tier."""
        virtual_times = self._virtual_times.get(tier)
        if virtual_times is None:
            virtual_times = VirtualTimes()
            self._virtual_times[tier] = virtual_times
        return virtual_times

    def tiers_in_order(self, now: float) -> list[_NumberedTier]:
        """Return the backlogged tiers in the order of dispatch.

        A tier that is due comes first; the others follow in tier order.
        """
        tiers = list(self.queue.backlogged())
        for position, (number, _) in enumerate(tiers):
            if self.is_due(now, number):
                tiers.insert(0, tiers.pop(position))
                break
        return tiers

    def on_arrival(self, now: float, tier: int) -> None:
        """Count an arrival.

        The first request of a backlog starts the starvation timer.
        """
        backlog = self.queue.tiers.get(tier)
        if backlog is None or backlog.size <= 1:
            self._served_at[tier] = now
        rate = self._arrival_rates.setdefault(tier, DecayingRate())
        rate.add(now)

    def reserved_slots(self, now: float, tier: int, free: int) -> int:
        """Return how many free slots the tier must leave to higher tiers."""
        slots = free + sum(self.in_flight.values())
        if slots < RESERVE_MIN_SLOTS or self.is_due(now, tier):
            return 0
        expected = sum(
            rate.per_second(now)
            for number, rate in self._arrival_rates.items()
            if number < tier
        )
        return RESERVED_SLOTS if expected >= RESERVE_RATE else 0

    def on_dispatch(self, now: float, entry: Entry) -> None:
        """Count a dispatch and add credit to the other backlogged tiers."""
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
        self._dispatch_rate.add(now)

    def on_end(self, entry: Entry) -> None:
        """Count the end of a running request."""
        self.in_flight[entry.tier] -= 1
        if not self.in_flight[entry.tier]:
            self.in_flight.pop(entry.tier)

    def on_shed(self, now: float, tier: int) -> None:
        """Record that a queued request of the tier was shed."""
        self._shed_at[tier] = now

    def retry_after_s(self, now: float) -> float:
        """Return the expected time until the queue drains, in seconds."""
        rate = max(self._dispatch_rate.per_second(now), 1 / RETRY_AFTER_MAX_S)
        drain_s = (self.queue.size + 1) / rate
        return min(max(drain_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)

    def is_due(self, now: float, tier: int) -> bool:
        """Return whether the tier is served before higher tiers.

        This is so if it starved for ``STARVATION_S``, or if its minimum
        share has credit and no higher tier was shed lately.
        """
        if now - self._served_at.get(tier, now) >= STARVATION_S:
            return True
        if self._credits.get(tier, 0) < 1:
            return False
        return not any(
            number < tier and now - shed_at < SHED_HOLD_S
            for number, shed_at in self._shed_at.items()
        )
