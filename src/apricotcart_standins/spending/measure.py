"""Cost and late work of one capacity rule over one day."""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

from apricotcart.codec.record import Record
from apricotcart_standins.spending.demand import DAY_S, DailyDemand
from apricotcart_standins.spending.simulation import SLOTS, Simulation

if TYPE_CHECKING:
    from apricotcart.provisioning.placement import SpotRule
    from apricotcart.provisioning.sizing import SizingRule

STEP_S = 5
# Slots of an endpoint count only this long after it is ready.
WARM_UP_S = 30
# Slot seconds per request; converts the backlog to queued requests.
MEAN_SERVICE_S = 10
# Work that waits longer than this for a slot is late.
LATE_AFTER_S = 5

_HOUR_S = 3600
# The pool starts empty; the time until it is filled is not counted.
_UNCOUNTED_S = 900
_NOTICE_S = 30
# The spot capacity of a zone is reclaimed every 8 h on average, for 1 h.
_RECLAIM_INTERVAL_S = 28800
_RECLAIM_DURATION_S = 3600
_SPOT_CAPACITY = 20
# The zone share of smaller pools is too coarse to compare.
_MIN_POOL_SIZE = 10
_ZONES = ('a', 'b', 'c', 'd')


class DayFigures(Record):
    """Results of one day.

    Attributes
    ----------
    spending : float
        Cost of all endpoints from order to release.
    late : float
        Fraction of the work that waited longer than 5 s.
    cheap : float
        Fraction of the endpoint hours that were spot.
    orders : int
        Number of orders and releases sent.
    zone_share : float
        Largest fraction of a pool of at least 10 endpoints that were spot
        endpoints of one zone.
    """

    __slots__ = ('cheap', 'late', 'orders', 'spending', 'zone_share')

    def __init__(
        self,
        *,
        spending: float,
        late: float,
        cheap: float,
        orders: int,
        zone_share: float,
    ) -> None:
        self.spending = spending
        self.late = late
        self.cheap = cheap
        self.orders = orders
        self.zone_share = zone_share


class DaySimulation:
    """Simulates a capacity rule over a day of pseudo-random demand.

    Parameters
    ----------
    rule : SizingRule
        Sizing rule of the pool.
    spot : SpotRule
        Limits on spot endpoints.
    seed : int
        Seed of the demand and the reclaims.
    """

    __slots__ = (
        '_backlog',
        '_cheap_s',
        '_demand',
        '_late',
        '_reclaimed_until',
        '_regular_s',
        '_rng',
        '_simulation',
        '_work',
        '_zone_share',
    )

    def __init__(self, rule: SizingRule, spot: SpotRule, seed: int) -> None:
        """Initialize an empty pool."""
        self._simulation = Simulation(rule, spot, seed)
        self._demand = DailyDemand(seed)
        self._rng = random.Random(-seed)
        self._reclaimed_until: dict[str, float] = {}
        self._backlog: float = 0
        self._work: float = 0
        self._late: float = 0
        self._regular_s: float = 0
        self._cheap_s: float = 0
        self._zone_share: float = 0

    def run(self) -> DayFigures:
        """Simulate the day and return its results.

        The first 15 minutes fill the pool and are not counted.
        """
        while self._simulation.now < DAY_S:
            self._step(is_counted=self._simulation.now > _UNCOUNTED_S)
        price = self._simulation.platform.answer('GET', '/prices', {})
        prices = price[1]['zones']['a']
        return DayFigures(
            spending=(
                self._regular_s * prices['regular']
                + self._cheap_s * prices['cheap']
            )
            / _HOUR_S,
            late=self._late / self._work,
            cheap=self._cheap_s / (self._cheap_s + self._regular_s),
            orders=len(self._simulation.platform.orders.records),
            zone_share=self._zone_share,
        )

    def _step(self, *, is_counted: bool) -> None:
        offered = self._demand.at(self._simulation.now)
        queued = self._backlog / MEAN_SERVICE_S
        self._simulation.step(STEP_S, offered + queued)
        self._reclaim_at_random()
        endpoints = self._simulation.platform.zones.list_endpoints()
        warm_since = self._simulation.now - WARM_UP_S
        slots = SLOTS * sum(
            endpoint['ready_at'] <= warm_since for endpoint in endpoints
        )
        self._backlog = max(self._backlog + (offered - slots) * STEP_S, 0)
        if not is_counted:
            self._backlog = 0
            return
        self._work += offered
        if self._backlog > slots * LATE_AFTER_S:
            self._late += offered
        self._count_endpoints(endpoints)

    def _count_endpoints(self, endpoints: list[dict[str, Any]]) -> None:
        zones = Counter(
            endpoint['zone'] for endpoint in endpoints if endpoint['cheap']
        )
        cheap = zones.total()
        self._cheap_s += cheap * STEP_S
        self._regular_s += (len(endpoints) - cheap) * STEP_S
        if len(endpoints) >= _MIN_POOL_SIZE:
            share = max(zones.values(), default=0) / len(endpoints)
            self._zone_share = max(self._zone_share, share)

    def _reclaim_at_random(self) -> None:
        zones = self._simulation.platform.zones
        for zone in _ZONES:
            if self._rng.random() * _RECLAIM_INTERVAL_S < STEP_S:
                zones.reclaim(zone, _NOTICE_S)
                until = self._simulation.now + _RECLAIM_DURATION_S
                self._reclaimed_until[zone] = until
            if (
                self._reclaimed_until.get(zone, math.inf)
                <= self._simulation.now
            ):
                self._reclaimed_until.pop(zone)
                zones.capacity[zone]['cheap'] = _SPOT_CAPACITY
