"""Where further endpoints are started and which ones are released."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, Any, TypeAlias

from apricotcart.codec.record import Record

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from apricotcart.platform.backoff import Backoff

# A place is a zone and whether spot capacity is meant.
Place: TypeAlias = tuple[str, bool]


class SpotRule(Record):
    """Bounds on spot endpoints.

    Attributes
    ----------
    zone_share : float
        Share of a pool's size that the spot endpoints of one zone may carry,
        which is what a reclaimed zone takes at once.
    total_share : float
        Share of a pool's size that all spot endpoints may carry.
    """

    __slots__ = ('total_share', 'zone_share')

    def __init__(
        self,
        *,
        zone_share: float = 0.2,
        total_share: float = 0.6,
    ) -> None:
        """Keep the shares."""
        self.zone_share = zone_share
        self.total_share = total_share


class Placement:
    """Chooses places by price within the bounds on spot endpoints.

    Parameters
    ----------
    rule : SpotRule
        Bounds.
    backoff : Backoff
        Pauses of places without capacity, by pool, zone and kind.
    """

    __slots__ = ('_backoff', '_rule')

    def __init__(self, rule: SpotRule, backoff: Backoff) -> None:
        """Keep the rule."""
        self._rule = rule
        self._backoff = backoff

    def choose(
        self,
        now: float,
        places: Iterable[Place],
        prices: Mapping[str, Mapping[str, float]],
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
            ``regular`` and ``cheap`` price by zone.
        size : int
            Endpoints the pool is to have.
        missing : int
            Endpoints to start.

        Returns
        -------
        Counter
            Endpoints to start by place; fewer if places are paused.
        """
        held = Counter(places)
        chosen: Counter[Place] = Counter()
        for _ in range(missing):
            place = self._cheapest(now, held, prices, size)
            if place is None:
                break
            held[place] += 1
            chosen[place] += 1
        return chosen

    def may_add_spot(self, held: Counter[Place], zone: str, size: int) -> bool:
        """Tell whether one more spot endpoint of a zone is in bounds."""
        spot = sum(held[place] for place in held if place[1])
        total_bound = math.floor(size * self._rule.total_share)
        zone_bound = math.floor(size * self._rule.zone_share)
        in_zone = held[(zone, True)]
        return spot < total_bound and in_zone < zone_bound

    def _cheapest(
        self,
        now: float,
        held: Counter[Place],
        prices: Mapping[str, Mapping[str, float]],
        size: int,
    ) -> Place | None:
        candidates = [
            (price_of(prices, place), _in_zone(held, place[0]), place)
            for zone in prices
            for place in ((zone, True), (zone, False))
            if not self._backoff.is_paused(now, place)
            and (not place[1] or self.may_add_spot(held, zone, size))
        ]
        return min(candidates)[2] if candidates else None


def price_of(
    prices: Mapping[str, Mapping[str, float]],
    place: Place,
) -> float:
    """Give the price of a place; unknown ones cost most."""
    kind = 'cheap' if place[1] else 'regular'
    return prices.get(place[0], {}).get(kind, math.inf)


def release_order(
    endpoints: Iterable[Mapping[str, Any]],
    prices: Mapping[str, Mapping[str, float]],
) -> list[Mapping[str, Any]]:
    """Sort endpoints by what is released first.

    Endpoints that still start come first, since they do no work; then the
    most expensive ones, in the zone that holds most endpoints.
    """
    listed = list(endpoints)
    zones = Counter(endpoint['zone'] for endpoint in listed)
    return sorted(
        listed,
        key=lambda endpoint: (
            endpoint['state'] == 'running',
            -price_of(prices, (endpoint['zone'], endpoint['cheap'])),
            -zones[endpoint['zone']],
            endpoint['name'],
        ),
    )


def _in_zone(held: Counter[Place], zone: str) -> int:
    return held[(zone, True)] + held[(zone, False)]
