"""Choice of zone and kind for new endpoints, and of those to release."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Mapping
from itertools import chain
from typing import TYPE_CHECKING, Any, TypeAlias

from apricotcart.codec.record import Record
from apricotcart.provisioning.inventory import RUNNING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from apricotcart.provisioning.backoff import KeyedBackoff

# A zone, and whether the capacity is spot (True) or regular (False).
Place: TypeAlias = tuple[str, bool]
Prices: TypeAlias = Mapping[str, Mapping[str, float]]
Endpoint: TypeAlias = Mapping[str, Any]


class SpotRule(Record):
    """Bounds on spot endpoints.

    Attributes
    ----------
    zone_share : float
        Fraction of a pool's size that may be spot endpoints of one zone, all
        of which are lost at once when the zone reclaims them.
    total_share : float
        Fraction of a pool's size that may be spot endpoints.
    """

    __slots__ = ('total_share', 'zone_share')

    def __init__(
        self,
        *,
        zone_share: float = 0.2,
        total_share: float = 0.6,
    ) -> None:
        self.zone_share = zone_share
        self.total_share = total_share


class Placement:
    """Chooses zones and kinds by price within the bounds on spot endpoints.

    Parameters
    ----------
    rule : SpotRule
        Bounds on spot endpoints.
    backoff : KeyedBackoff
        Back-off of places without capacity, by zone and kind.
    """

    __slots__ = ('_backoff', '_rule')

    def __init__(self, rule: SpotRule, backoff: KeyedBackoff) -> None:
        self._rule = rule
        self._backoff = backoff

    def choose(
        self,
        now: float,
        places: Iterable[Place],
        prices: Prices,
        size: int,
        missing: int,
    ) -> Counter[Place]:
        """Choose places for missing endpoints.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        places : iterable of Place
            Places of the present endpoints of the pool.
        prices : mapping
            ``regular`` and ``cheap`` (spot) price by zone.
        size : int
            Number of endpoints that the pool is to have.
        missing : int
            Number of endpoints to start.

        Returns
        -------
        Counter
            Endpoints to start by place; fewer than ``missing`` if places
            back off.
        """
        counts = Counter(places)
        chosen: Counter[Place] = Counter()
        for _ in range(missing):
            place = self._cheapest_place(now, counts, prices, size)
            if place is None:
                break
            counts[place] += 1
            chosen[place] += 1
        return chosen

    def places_without_capacity(self, now: float, prices: Prices) -> list[str]:
        """Return the places that back off for lack of capacity.

        Each is written as ``zone/kind``.
        """
        return [
            f'{zone}/{kind}'
            for zone in sorted(prices)
            for kind, is_spot in (('cheap', True), ('regular', False))
            if self._backoff.is_backing_off(now, (zone, is_spot))
        ]

    def choose_releases(
        self,
        endpoints: Sequence[Endpoint],
        prices: Prices,
        size: int,
    ) -> list[Endpoint]:
        """Choose the endpoints to release.

        Endpoints that are not running come first, since they do no work.
        Next are spot endpoints that exceed the bounds of the smaller pool,
        those with the greatest excess first, and then the most expensive
        endpoints; ties go to the zone with the most endpoints.

        Parameters
        ----------
        endpoints : sequence of mapping
            Present endpoints of the pool.
        prices : mapping
            ``regular`` and ``cheap`` (spot) price by zone.
        size : int
            Number of endpoints that the pool is to keep.

        Returns
        -------
        list of mapping
            Endpoints to release.
        """
        surplus = len(endpoints) - size
        ordered = sorted(endpoints, key=lambda endpoint: endpoint['name'])
        not_running = [
            listed for listed in ordered if listed['state'] != RUNNING
        ]
        running = [listed for listed in ordered if listed['state'] == RUNNING]
        released = not_running[:surplus]
        by_place: dict[Place, list[Endpoint]] = defaultdict(list)
        for endpoint in chain(not_running[surplus:], running):
            by_place[place_of(endpoint)].append(endpoint)
        while len(released) < surplus:
            place = self._next_release(by_place, prices, size)
            released.append(by_place[place].pop())
        return released

    def _next_release(
        self,
        by_place: Mapping[Place, Sequence[Endpoint]],
        prices: Prices,
        size: int,
    ) -> Place:
        counts = Counter({place: len(by_place[place]) for place in by_place})
        return max(
            +counts,
            key=lambda place: (
                self._excess(counts, place, size),
                price_of(prices, place),
                _count_in_zone(counts, place[0]),
            ),
        )

    def _may_add_spot(
        self,
        counts: Counter[Place],
        zone: str,
        size: int,
    ) -> bool:
        place = (zone, True)
        return not self._excess(counts + Counter([place]), place, size)

    def _excess(self, counts: Counter[Place], place: Place, size: int) -> int:
        if not place[1]:
            return 0
        spot = sum(counts[other] for other in counts if other[1])
        total_bound = math.floor(size * self._rule.total_share)
        zone_bound = math.floor(size * self._rule.zone_share)
        excess = max(spot - total_bound, counts[place] - zone_bound)
        return max(excess, 0)

    def _cheapest_place(
        self,
        now: float,
        counts: Counter[Place],
        prices: Prices,
        size: int,
    ) -> Place | None:
        candidates = [
            (price_of(prices, place), _count_in_zone(counts, place[0]), place)
            for zone in prices
            for place in ((zone, True), (zone, False))
            if not self._backoff.is_backing_off(now, place)
            and (not place[1] or self._may_add_spot(counts, zone, size))
        ]
        return min(candidates)[2] if candidates else None


def place_of(endpoint: Endpoint) -> Place:
    """Return the zone and kind of an endpoint in the platform's list."""
    return endpoint['zone'], endpoint['cheap']


def price_of(
    prices: Prices,
    place: Place,
) -> float:
    """Return the price of a place, or infinity if it is unknown."""
    kind = 'cheap' if place[1] else 'regular'
    return prices.get(place[0], {}).get(kind, math.inf)


def _count_in_zone(counts: Counter[Place], zone: str) -> int:
    return counts[(zone, True)] + counts[(zone, False)]
