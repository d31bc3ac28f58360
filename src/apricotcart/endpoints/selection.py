"""Choice of an endpoint among candidates with a free slot."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from apricotcart.endpoints.rows import EndpointRow

# The costs are in parts of an endpoint's load: 0.1 means that a tenth more
# load on the other endpoint outweighs it.
ZONE_COST = 0.1
CHEAP_BONUS = 0.1
PREFIX_BONUS = 0.5
HEALTH_COST = 0.5
PACE_COST = 0.5
_MAX_PACE_RATIO = 4.0
# Candidates that are compared. Two or more at random keep hosts with the
# same late report from all choosing the same endpoint.
SAMPLE = 4
NOISE = 0.05


class Need:
    """What a request asks of its endpoint.

    Parameters
    ----------
    pool, model : str
        The pool, and the model that the endpoint must serve.
    cheap_allowed : bool
        Whether the request can finish or move within the reclaim notice.
    excluded : collection of str
        Endpoints on which earlier attempts failed.
    holders : mapping of str to float
        Probability by endpoint that it caches the request's prefix.
    isolated : bool
        Whether the request is a suspect.
    """

    __slots__ = (
        'pool',
        'model',
        'cheap_allowed',
        'excluded',
        'holders',
        'isolated',
    )

    def __init__(
        self,
        *,
        pool: str,
        model: str = '',
        cheap_allowed: bool = False,
        excluded: Collection[str] = (),
        holders: Mapping[str, float] | None = None,
        isolated: bool = False,
    ) -> None:
        """Keep the fields."""
        self.pool = pool
        self.model = model
        self.cheap_allowed = cheap_allowed
        self.excluded = excluded
        self.holders = holders or {}
        self.isolated = isolated


class Scorer:
    """Computes the cost of sending a request to an endpoint.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    rng : random.Random
        Seeded source of the noise that breaks ties.
    """

    __slots__ = ('_zone', '_rng')

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Keep the zone and the random source."""
        self._zone = zone
        self._rng = rng

    def cost(
        self, now: float, row: EndpointRow, need: Need, best_pace_s: float
    ) -> float:
        """Give the cost; the lowest is chosen."""
        cost = row.load(now) + NOISE * self._rng.random()
        cost += HEALTH_COST * (1 - row.limit.health)
        if row.endpoint.zone != self._zone:
            cost += ZONE_COST
        if row.endpoint.cheap:
            cost -= CHEAP_BONUS
        if row.pace_s and best_pace_s:
            ratio = min(row.pace_s / best_pace_s, _MAX_PACE_RATIO)
            cost += PACE_COST * (ratio - 1)
        return cost - PREFIX_BONUS * need.holders.get(row.endpoint.name, 0)
