"""Inputs of the decisions on how many endpoints a service has."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from typing import Final

from apricotcart.codec.record import Record
from apricotcart.desired.records import Scaling
from apricotcart.endpoints.instances import Instance

# Fraction of the regular endpoints kept until the first request. The operator
# provides them for the highest load.
_IDLE_FRACTION: Final = 0.75
# The platform lists ordered endpoints up to this long after their boot time.
_LIST_LAG_S: Final = 2.0
# Time for which a zone stays closed after its evacuation. Its endpoints may be
# cold, and the others are not released before they can take its work again.
_REOPENING_S: Final = 10.0


class ServiceLoad(Record):
    """Load of one service over all hosts.

    Attributes
    ----------
    requests : int
        Requests in progress or queued.
    unread_tokens : int
        Prompt tokens that wait for prefill.
    """

    __slots__ = ('requests', 'unread_tokens')

    def __init__(self, *, requests: int, unread_tokens: int) -> None:
        self.requests = requests
        self.unread_tokens = unread_tokens


class ClosedZones:
    """Zones in which no endpoints are ordered or released.

    They are the evacuated ones, and those whose evacuation has just ended.
    """

    __slots__ = ('_closed_at',)

    def __init__(self) -> None:
        # When a zone was last seen to be evacuated, in seconds.
        self._closed_at: dict[str, float] = {}

    def update(self, evacuated: Collection[str], now: float) -> frozenset[str]:
        """Apply the evacuated zones; return those that are closed.

        Parameters
        ----------
        evacuated : collection of str
            Zones that are evacuated now.
        now : float
            Time in seconds.
        """
        self._closed_at.update(dict.fromkeys(evacuated, now))
        self._closed_at = {
            zone: closed_at
            for zone, closed_at in self._closed_at.items()
            if now < closed_at + _REOPENING_S
        }
        return frozenset(self._closed_at)


class ZoneCounts:
    """Number of endpoints of one service by zone.

    Attributes
    ----------
    spot, regular : dict of str to int
        Ready endpoints that are not about to leave, by zone.
    """

    __slots__ = ('regular', 'spot')

    def __init__(
        self,
        zones: Iterable[str],
        instances: Iterable[Instance],
    ) -> None:
        self.spot = dict.fromkeys(zones, 0)
        self.regular = dict.fromkeys(self.spot, 0)
        for instance in instances:
            if not instance.is_ready or instance.leaves_s is not None:
                continue
            counts = self.spot if instance.is_spot else self.regular
            counts[instance.zone] = counts.get(instance.zone, 0) + 1

    @property
    def total(self) -> int:
        """Number of all endpoints."""
        return sum(self.spot.values()) + sum(self.regular.values())

    @property
    def idle_count(self) -> int:
        """Number of endpoints that an idle service keeps."""
        regular = sum(self.regular.values())
        return max(
            sum(self.spot.values()),
            math.ceil(regular * _IDLE_FRACTION),
        )


class ScalingInputs:
    """Inputs of one scaling decision.

    Attributes
    ----------
    now : float
        Time in seconds.
    scaling : Scaling
        Bounds and prices.
    counts : ZoneCounts
        Endpoints present; the zones are ordered by price.
    target : int
        Endpoints that all zones together are to have.
    """

    __slots__ = ('counts', 'now', 'scaling', 'target')

    def __init__(
        self,
        *,
        now: float,
        scaling: Scaling,
        counts: ZoneCounts,
        target: int,
    ) -> None:
        self.now = now
        self.scaling = scaling
        self.counts = counts
        self.target = target

    @property
    def zones(self) -> Sequence[str]:
        """Zones in order of price, the cheapest first."""
        return tuple(self.counts.spot)

    @property
    def has_no_spare_spot(self) -> bool:
        """Whether there are no more spot endpoints than the target."""
        return sum(self.counts.spot.values()) <= self.target

    def present_count(self, zone: str, *, is_spot: bool) -> int:
        """Return the number of endpoints of a kind in a zone."""
        counts = self.counts.spot if is_spot else self.counts.regular
        return counts[zone]

    def is_booting(self, last_order: LastOrder) -> bool:
        """Return whether ordered endpoints may not be listed yet."""
        return self.now < last_order.at + self.scaling.boot_s + _LIST_LAG_S


class LastOrder:
    """The last accepted order for one zone and kind.

    Attributes
    ----------
    count : int
        Endpoints that the zone was ordered to have.
    at : float
        Time of the order in seconds.
    """

    __slots__ = ('at', 'count')

    def __init__(self, count: int, at: float) -> None:
        self.count = count
        self.at = at
