"""Choice of an endpoint among candidates with a free slot."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from apricotcart.endpoints.endpoint_state import EndpointState

# Costs are in units of an endpoint's load: a cost of 0.1 is outweighed by 0.1
# more load on another endpoint.
ZONE_COST = 0.1
CHEAP_BONUS = 0.1
PREFIX_BONUS = 0.5
HEALTH_COST = 0.5
LATENCY_COST = 0.5
_MAX_LATENCY_RATIO = 4.0
# Number of random candidates that are compared. Comparing a sample prevents
# hosts with the same outdated load report from choosing the same endpoint.
SAMPLE_SIZE = 4
NOISE_COST = 0.05


class Requirements:
    """What a request requires of its endpoint.

    Parameters
    ----------
    pool, model : str
        Pool of the endpoint, and model that it must serve.
    cheap_allowed : bool
        Whether spot endpoints are allowed: the request can finish or be
        resumed elsewhere within the reclaim notice.
    excluded : collection of str
        Names of endpoints on which earlier attempts failed.
    holders : mapping of str to float
        Probability by endpoint that the request's prefix is cached there.
    isolated : bool
        Whether the request is suspected of having crashed an endpoint and
        must not share an endpoint with another suspect.
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
        Seeded random source of the noise that breaks ties.
    """

    __slots__ = ('_zone', '_rng')

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng

    def cost(
        self,
        now: float,
        state: EndpointState,
        requirements: Requirements,
        best_latency_s: float,
    ) -> float:
        """Return the cost; the endpoint with the lowest cost is chosen."""
        cost = state.load(now) + NOISE_COST * self._rng.random()
        cost += HEALTH_COST * (1 - state.limit.health)
        if state.endpoint.zone != self._zone:
            cost += ZONE_COST
        if state.endpoint.cheap:
            cost -= CHEAP_BONUS
        if state.inter_token_latency_s and best_latency_s:
            ratio = min(
                state.inter_token_latency_s / best_latency_s, _MAX_LATENCY_RATIO
            )
            cost += LATENCY_COST * (ratio - 1)
        return cost - PREFIX_BONUS * requirements.holders.get(
            state.endpoint.name, 0
        )
