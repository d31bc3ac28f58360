"""Decides how many endpoints each availability zone has, and of which kind.

Answers the load of a whole service over minutes: spot endpoints cost a
fraction of regular ones and leave a zone at a time, so they are spread over
all zones, and regular ones fill in only for what spot ones cannot be had.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from apricotcart.codec.record import Record
from apricotcart.desired.records import Scaling, Service
from apricotcart.endpoints.instances import Instance
from apricotcart.provisioning.fleet_api import EndpointOrder

# Requests in progress at one engine up to which it keeps its pauses short.
_BUSY_REQUESTS: Final = 9.6
# The same as a share of its slots: the rest takes the bursts that come while
# further engines start.
_BUSY_SHARE: Final = 0.5
# Prompt tokens that one engine reads well within the time to a first token.
_UNREAD_TOKENS: Final = 40_000
# Endpoints of each zone while the load is low: with two, a zone that is
# reclaimed takes away a quarter.
_BASE_EACH_ZONE: Final = 2
# Endpoints below which regular ones are ordered where spot ones are missing,
# as a share of those wanted.
_FLOOR_SHARE: Final = 0.6
# How long a high load keeps endpoints, so that a short pause of the load
# does not release them.
_HOLD_S: Final = 10.0
# How long no spot endpoints are asked for in a zone that had none.
_DRY_S: Final = 2.5
# Share of the regular endpoints that stay until requests come. The operator
# chose their number for the highest load.
_IDLE_SHARE: Final = 0.75
# How long the list of an idle service must stay the same before regular
# endpoints are released: those that have just started are listed one by one.
_SETTLE_S: Final = 2.0
# The list shows an order this much after its boot time.
_LIST_LAG_S: Final = 2.0

_Counts = dict[str, int]


class ServiceLoad(Record):
    """Load of one service over all hosts.

    Attributes
    ----------
    requests : int
        Requests in progress or waiting.
    unread_tokens : int
        Prompt tokens that wait to be read.
    """

    __slots__ = ('requests', 'unread_tokens')

    def __init__(self, *, requests: int, unread_tokens: int) -> None:
        """Keep the fields."""
        self.requests = requests
        self.unread_tokens = unread_tokens


class ZoneCounts:
    """Endpoints of one service by zone.

    Attributes
    ----------
    spot, regular : dict of str to int
        Endpoints that stay, by zone.
    """

    __slots__ = ('regular', 'spot')

    def __init__(
        self,
        zones: Iterable[str],
        instances: Iterable[Instance],
    ) -> None:
        """Count the endpoints."""
        self.spot = dict.fromkeys(zones, 0)
        self.regular = dict.fromkeys(self.spot, 0)
        for instance in instances:
            if not instance.is_ready or instance.leaves_s is not None:
                continue
            counts = self.spot if instance.is_spot else self.regular
            counts[instance.zone] = counts.get(instance.zone, 0) + 1

    @property
    def total(self) -> int:
        """All endpoints that stay."""
        return sum(self.spot.values()) + sum(self.regular.values())

    @property
    def idle_share(self) -> int:
        """Endpoints that an idle service keeps."""
        regular = sum(self.regular.values())
        return max(
            sum(self.spot.values()),
            math.ceil(regular * _IDLE_SHARE),
        )


class Situation:
    """Everything that the orders of one moment follow from.

    Attributes
    ----------
    now : float
        Time in seconds.
    scaling : Scaling
        Bounds and prices.
    counts : ZoneCounts
        Endpoints that stay; the zones are ordered by price.
    wanted : int
        Endpoints wanted in all zones together.
    """

    __slots__ = ('counts', 'now', 'scaling', 'wanted')

    def __init__(
        self,
        *,
        now: float,
        scaling: Scaling,
        counts: ZoneCounts,
        wanted: int,
    ) -> None:
        """Keep the fields."""
        self.now = now
        self.scaling = scaling
        self.counts = counts
        self.wanted = wanted

    @property
    def zones(self) -> Sequence[str]:
        """Zones, the cheapest first."""
        return tuple(self.counts.spot)

    @property
    def lacks_spot(self) -> bool:
        """Whether no spot endpoint can be spared yet."""
        return sum(self.counts.spot.values()) <= self.wanted

    def found(self, zone: str, *, is_spot: bool) -> int:
        """Give the endpoints of a kind in a zone."""
        counts = self.counts.spot if is_spot else self.counts.regular
        return counts[zone]

    def is_booting(self, ordered: Ordered) -> bool:
        """Tell whether what was ordered may not be listed yet."""
        return self.now < ordered.at + self.scaling.boot_s + _LIST_LAG_S


class Ordered:
    """The last order for one zone and kind."""

    __slots__ = ('at', 'count')

    def __init__(self, count: int, at: float) -> None:
        """Keep the number ordered and the time in seconds."""
        self.count = count
        self.at = at


class Autoscaler:
    """Orders for the endpoints of one service."""

    __slots__ = (
        '_ask_again_at',
        '_has_load',
        '_is_settled',
        '_listed',
        '_listed_at',
        '_orders',
        '_wanted',
        '_wanted_at',
    )

    def __init__(self) -> None:
        """Start without orders."""
        self._orders: dict[tuple[str, bool], Ordered] = {}
        # Zones without spot endpoints, and when they are asked again.
        self._ask_again_at: dict[str, float] = {}
        # Whether requests have come: an idle service says nothing of the
        # load to come.
        self._has_load = False
        # Whether the list has been seen whole.
        self._is_settled = False
        self._listed = -1
        self._listed_at: float = 0
        self._wanted = 0
        self._wanted_at: float = 0

    def decide(
        self,
        now: float,
        service: Service,
        instances: Iterable[Instance],
        load: ServiceLoad,
    ) -> list[EndpointOrder]:
        """Give the orders to send now.

        Parameters
        ----------
        now : float
            Time in seconds.
        service : Service
            The service, with bounds and prices.
        instances : iterable of Instance
            All endpoints of the service.
        load : ServiceLoad
            Its load.
        """
        scaling = service.scaling
        if scaling is None:
            return []
        prices = scaling.zone_prices
        zones = sorted(prices, key=prices.__getitem__)
        counts = ZoneCounts(zones, instances)
        base = len(zones) * max(scaling.least, _BASE_EACH_ZONE)
        needed = max(base, _needed(service, load))
        self._note_load(now, load, counts)
        situation = Situation(
            now=now,
            scaling=scaling,
            counts=counts,
            wanted=self._hold(now, needed, counts),
        )
        orders = self._orders_due(service.name, situation)
        if self._is_settled:
            return list(orders)
        return [order for order in orders if order.is_spot]

    def note_sent(
        self,
        now: float,
        order: EndpointOrder,
        *,
        is_taken: bool,
    ) -> None:
        """Note the platform's answer to an order."""
        if is_taken:
            key = (order.zone, order.is_spot)
            self._orders[key] = Ordered(order.count, now)
        if order.is_spot and is_taken:
            self._ask_again_at.pop(order.zone, None)
        elif order.is_spot:
            self._ask_again_at[order.zone] = now + _DRY_S

    def _note_load(
        self,
        now: float,
        load: ServiceLoad,
        counts: ZoneCounts,
    ) -> None:
        regular = sum(counts.regular.values())
        if regular != self._listed:
            self._listed = regular
            self._listed_at = now
        if load.requests and not self._has_load:
            self._has_load = True
            # A new leader has not heard of all load yet and keeps what runs.
            self._wanted = max(self._wanted, counts.total)
            self._wanted_at = now
        if self._has_load or now >= self._listed_at + _SETTLE_S:
            self._is_settled = True

    def _hold(self, now: float, needed: int, counts: ZoneCounts) -> int:
        if not self._is_settled:
            needed = max(needed, counts.idle_share)
        is_over = self._has_load and now > self._wanted_at + _HOLD_S
        if needed >= self._wanted or is_over:
            self._wanted = needed
            self._wanted_at = now
        return self._wanted

    def _orders_due(
        self,
        service: str,
        situation: Situation,
    ) -> Iterable[EndpointOrder]:
        wishes = (
            (True, self._spot_wanted(situation)),
            (False, self._regular_wanted(situation)),
        )
        for is_spot, wanted in wishes:
            for zone, count in wanted.items():
                order = EndpointOrder(
                    service=service,
                    zone=zone,
                    count=count,
                    is_spot=is_spot,
                )
                if self._is_due(situation, order):
                    yield order
        yield from self._repeated(service, situation)

    def _repeated(
        self,
        service: str,
        situation: Situation,
    ) -> Iterable[EndpointOrder]:
        """Ask again in zones that had no spot endpoints."""
        share = math.ceil(situation.wanted / len(situation.zones))
        for zone, ask_at in self._ask_again_at.items():
            room = situation.scaling.most - situation.counts.regular[zone]
            if situation.now >= ask_at and room > 0:
                yield EndpointOrder(
                    service=service,
                    zone=zone,
                    count=min(share, room),
                    is_spot=True,
                )

    def _spot_wanted(self, situation: Situation) -> _Counts:
        """Spread spot endpoints over the zones that have them."""
        scaling = situation.scaling
        rooms = dict.fromkeys(situation.zones, 0)
        if scaling.spot_share is None:
            return rooms
        for zone in rooms:
            if zone in self._ask_again_at:
                rooms[zone] = situation.counts.spot[zone]
            else:
                rooms[zone] = scaling.most - situation.counts.regular[zone]
        return _spread(rooms, situation.wanted)

    def _regular_wanted(self, situation: Situation) -> _Counts:
        """Keep regular endpoints only until spot ones stand in for them."""
        counts = situation.counts
        missing = self._regular_total(situation)
        kept = _spread(counts.regular, missing)
        rooms = {
            zone: situation.scaling.most - counts.spot[zone] - kept[zone]
            for zone in situation.zones
        }
        added = _spread(rooms, missing - sum(kept.values()))
        return {zone: kept[zone] + added[zone] for zone in kept}

    def _regular_total(self, situation: Situation) -> int:
        counts = situation.counts
        spot_total = sum(counts.spot.values())
        present = sum(counts.regular.values())
        missing = max(0, situation.wanted - spot_total)
        if missing <= present:
            return missing
        floor = math.ceil(situation.wanted * _FLOOR_SHARE)
        coming = spot_total + self._booting(situation)
        return max(present, min(missing, floor - coming))

    def _booting(self, situation: Situation) -> int:
        """Count the spot endpoints that were ordered and are not listed."""
        return sum(
            max(0, ordered.count - situation.found(zone, is_spot=True))
            for (zone, is_spot), ordered in self._orders.items()
            if is_spot and situation.is_booting(ordered)
        )

    def _is_due(self, situation: Situation, order: EndpointOrder) -> bool:
        if order.is_spot and order.zone in self._ask_again_at:
            return False
        found = situation.found(order.zone, is_spot=order.is_spot)
        if order.is_spot and order.count < found and situation.lacks_spot:
            return False
        ordered = self._orders.get((order.zone, order.is_spot))
        if ordered is None:
            return order.count != found
        if ordered.count != order.count:
            return True
        return order.count != found and not situation.is_booting(ordered)


def _needed(service: Service, load: ServiceLoad) -> int:
    engine = service.engine
    slots = engine.slots if engine else 1
    busy = min(_BUSY_REQUESTS, slots * _BUSY_SHARE)
    by_requests = load.requests / max(1, busy)
    by_tokens = load.unread_tokens / _UNREAD_TOKENS
    return math.ceil(max(by_requests, by_tokens))


def _spread(rooms: Mapping[str, int], wanted: int) -> _Counts:
    """Spread a number evenly over zones that have room, in their order."""
    counts = dict.fromkeys(rooms, 0)
    for _ in range(max(0, wanted)):
        free = [zone for zone in rooms if counts[zone] < rooms[zone]]
        if not free:
            break
        emptiest = min(free, key=counts.__getitem__)
        counts[emptiest] += 1
    return counts
