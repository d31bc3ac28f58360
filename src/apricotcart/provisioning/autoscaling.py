"""Sizes the spot and regular endpoints of a service in each zone.

Scales with the load of the whole service over minutes. Spot endpoints cost a
fraction of regular ones, but a zone reclaims all of its spot endpoints at
once, so they are spread over all zones. Regular endpoints are ordered only
where spot capacity is missing.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import Final

from apricotcart.desired.records import Service
from apricotcart.endpoints.instances import Instance
from apricotcart.provisioning.fleet_api import EndpointOrder
from apricotcart.provisioning.scaling_inputs import (
    LastOrder,
    ScalingInputs,
    ServiceLoad,
    ZoneCounts,
)

# Requests in progress at one engine up to which its inter-token latency stays
# low.
_MAX_REQUESTS_PER_ENGINE: Final = 9.6
# The same as a fraction of its slots. The other slots absorb the bursts that
# arrive while further engines start.
_MAX_BUSY_FRACTION: Final = 0.5
# Prompt tokens that one engine can prefill well within the time to the first
# token.
_MAX_PREFILL_TOKENS_PER_ENGINE: Final = 40_000
# Endpoints of each zone at low load. With two, the service loses a quarter of
# them when one of four zones is reclaimed.
_MIN_ENDPOINTS_PER_ZONE: Final = 2
# Regular endpoints are ordered only until they and the spot ones, present or
# booting, make up this fraction of the target.
_MIN_PRESENT_FRACTION: Final = 0.6
# Time for which the target is kept after the load drops, so that a short dip
# releases no endpoints.
_SCALE_DOWN_DELAY_S: Final = 10.0
# Time after which spot endpoints are requested again in a zone that had none.
_SPOT_RETRY_DELAY_S: Final = 2.5
# Time for which the list of an idle service must not change before regular
# endpoints are released. Endpoints that have just started are listed one by
# one.
_LIST_STABLE_S: Final = 2.0

_Counts = dict[str, int]


class Autoscaler:
    """Decides on orders for the endpoints of one service."""

    __slots__ = (
        '_spot_retry_at',
        '_has_load',
        '_is_settled',
        '_listed_regular',
        '_list_changed_at',
        '_orders',
        '_target',
        '_target_set_at',
    )

    def __init__(self) -> None:
        self._orders: dict[tuple[str, bool], LastOrder] = {}
        # Time of the next spot order by zone without spot capacity.
        self._spot_retry_at: dict[str, float] = {}
        # Whether requests have arrived. Before that, the load is no
        # indication of the load to expect.
        self._has_load = False
        # Whether the list of endpoints has been stable for long enough, or
        # requests have arrived. Before that only spot orders are sent.
        self._is_settled = False
        self._listed_regular = -1
        self._list_changed_at: float = 0
        self._target = 0
        self._target_set_at: float = 0

    def decide(
        self,
        now: float,
        service: Service,
        instances: Iterable[Instance],
        load: ServiceLoad,
        closed_zones: Collection[str] = (),
    ) -> list[EndpointOrder]:
        """Return the orders to send now.

        Parameters
        ----------
        now : float
            Time in seconds.
        service : Service
            The service, with its bounds and prices.
        instances : iterable of Instance
            All endpoints of the service.
        load : ServiceLoad
            Load of the service.
        closed_zones : collection of str
            Zones whose endpoints do no work for a while. Nothing is ordered
            or released there, and the others have all endpoints needed.
        """
        scaling = service.scaling
        if scaling is None:
            return []
        prices = scaling.zone_prices
        zones = [
            zone
            for zone in sorted(prices, key=prices.__getitem__)
            if zone not in closed_zones
        ]
        if not zones:
            return []
        counts = ZoneCounts(
            zones,
            [
                instance
                for instance in instances
                if instance.zone not in closed_zones
            ],
        )
        min_total = len(prices) * max(scaling.least, _MIN_ENDPOINTS_PER_ZONE)
        needed = max(min_total, _endpoints_needed(service, load))
        self._observe_load(now, load, counts)
        inputs = ScalingInputs(
            now=now,
            scaling=scaling,
            counts=counts,
            target=self._hold_target(now, needed, counts),
        )
        orders = self._orders_due(service.name, inputs)
        if self._is_settled:
            return list(orders)
        return [order for order in orders if order.is_spot]

    def record_result(
        self,
        now: float,
        order: EndpointOrder,
        *,
        is_accepted: bool,
    ) -> None:
        """Record whether the platform accepted an order."""
        if is_accepted:
            key = (order.zone, order.is_spot)
            self._orders[key] = LastOrder(order.count, now)
        if order.is_spot and is_accepted:
            self._spot_retry_at.pop(order.zone, None)
        elif order.is_spot:
            self._spot_retry_at[order.zone] = now + _SPOT_RETRY_DELAY_S

    def _observe_load(
        self,
        now: float,
        load: ServiceLoad,
        counts: ZoneCounts,
    ) -> None:
        regular = sum(counts.regular.values())
        if regular != self._listed_regular:
            self._listed_regular = regular
            self._list_changed_at = now
        if load.requests and not self._has_load:
            self._has_load = True
            # A new leader does not know the whole load yet, so it keeps all
            # endpoints that run.
            self._target = max(self._target, counts.total)
            self._target_set_at = now
        if self._has_load or now >= self._list_changed_at + _LIST_STABLE_S:
            self._is_settled = True

    def _hold_target(self, now: float, needed: int, counts: ZoneCounts) -> int:
        if not self._is_settled:
            needed = max(needed, counts.idle_count)
        may_scale_down = (
            self._has_load and now > self._target_set_at + _SCALE_DOWN_DELAY_S
        )
        if needed >= self._target or may_scale_down:
            self._target = needed
            self._target_set_at = now
        return self._target

    def _orders_due(
        self,
        service: str,
        inputs: ScalingInputs,
    ) -> Iterable[EndpointOrder]:
        targets = (
            (True, self._spot_targets(inputs)),
            (False, self._regular_targets(inputs)),
        )
        for is_spot, target in targets:
            for zone, count in target.items():
                order = EndpointOrder(
                    service=service,
                    zone=zone,
                    count=count,
                    is_spot=is_spot,
                )
                if self._is_due(inputs, order):
                    yield order
        yield from self._spot_retries(service, inputs)

    def _spot_retries(
        self,
        service: str,
        inputs: ScalingInputs,
    ) -> Iterable[EndpointOrder]:
        """Yield repeated spot orders for zones that had no capacity."""
        per_zone = math.ceil(inputs.target / len(inputs.zones))
        for zone, retry_at in self._spot_retry_at.items():
            if zone not in inputs.zones:
                continue
            limit = inputs.scaling.most - inputs.counts.regular[zone]
            if inputs.now >= retry_at and limit > 0:
                yield EndpointOrder(
                    service=service,
                    zone=zone,
                    count=min(per_zone, limit),
                    is_spot=True,
                )

    def _spot_targets(self, inputs: ScalingInputs) -> _Counts:
        """Return the spot endpoints to have in each zone."""
        scaling = inputs.scaling
        limits = dict.fromkeys(inputs.zones, 0)
        if scaling.spot_share is None:
            return limits
        for zone in limits:
            if zone in self._spot_retry_at:
                limits[zone] = inputs.counts.spot[zone]
            else:
                limits[zone] = scaling.most - inputs.counts.regular[zone]
        return _distribute(limits, inputs.target)

    def _regular_targets(self, inputs: ScalingInputs) -> _Counts:
        """Return the regular endpoints to have in each zone.

        Regular endpoints are kept only until spot ones replace them.
        """
        counts = inputs.counts
        missing = self._regular_total(inputs)
        kept = _distribute(counts.regular, missing)
        limits = {
            zone: inputs.scaling.most - counts.spot[zone] - kept[zone]
            for zone in inputs.zones
        }
        added = _distribute(limits, missing - sum(kept.values()))
        return {zone: kept[zone] + added[zone] for zone in kept}

    def _regular_total(self, inputs: ScalingInputs) -> int:
        counts = inputs.counts
        spot_total = sum(counts.spot.values())
        present = sum(counts.regular.values())
        missing = max(0, inputs.target - spot_total)
        if missing <= present:
            return missing
        minimum = math.ceil(inputs.target * _MIN_PRESENT_FRACTION)
        expected = spot_total + self._booting_spot(inputs)
        return max(present, min(missing, minimum - expected))

    def _booting_spot(self, inputs: ScalingInputs) -> int:
        """Return the number of spot endpoints ordered but not listed."""
        return sum(
            max(0, last_order.count - inputs.present_count(zone, is_spot=True))
            for (zone, is_spot), last_order in self._orders.items()
            if is_spot
            and zone in inputs.zones
            and inputs.is_booting(last_order)
        )

    def _is_due(self, inputs: ScalingInputs, order: EndpointOrder) -> bool:
        if order.is_spot and order.zone in self._spot_retry_at:
            return False
        present = inputs.present_count(order.zone, is_spot=order.is_spot)
        if order.is_spot and order.count < present and inputs.has_no_spare_spot:
            return False
        last_order = self._orders.get((order.zone, order.is_spot))
        if last_order is None:
            return order.count != present
        if last_order.count != order.count:
            return True
        return order.count != present and not inputs.is_booting(last_order)


def _endpoints_needed(service: Service, load: ServiceLoad) -> int:
    engine = service.engine
    slots = engine.slots if engine else 1
    max_requests = min(_MAX_REQUESTS_PER_ENGINE, slots * _MAX_BUSY_FRACTION)
    by_requests = load.requests / max(1, max_requests)
    by_tokens = load.unread_tokens / _MAX_PREFILL_TOKENS_PER_ENGINE
    return math.ceil(max(by_requests, by_tokens))


def _distribute(limits: Mapping[str, int], target: int) -> _Counts:
    """Distribute endpoints evenly over zones, within the limit of each."""
    counts = dict.fromkeys(limits, 0)
    for _ in range(max(0, target)):
        free = [zone for zone in limits if counts[zone] < limits[zone]]
        if not free:
            break
        smallest = min(free, key=counts.__getitem__)
        counts[smallest] += 1
    return counts
