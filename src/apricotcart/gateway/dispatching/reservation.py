"""Reserves engines for the streams with the lowest latency target.

The number follows the demand of all gateways together, which the leader sums
up: every gateway computes it from the same figures, and the first engines in an
order that all hosts share are reserved. A changed demand therefore adds or
removes engines at the end of that order only.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import Final

from apricotcart.desired.records import Engine

# Ratio of the engines that is reserved while the demand is not known.
_DEFAULT_RATIO: Final = 0.25
# Weight of that ratio beside the demand, as a ratio of all slots: a few
# requests must not move many engines.
_DEFAULT_WEIGHT: Final = 0.1
# Slots for each request, so that gateways that place requests at the same time
# find free ones.
_SLOTS_PER_REQUEST: Final = 1.5
# Ratio of the engines that remains for other requests if they need it.
_OTHERS_RATIO: Final = 0.25
# Time after which the demand is no longer known, in seconds. It exceeds the
# time in which a new leader is elected and has heard of all gateways.
_DEMAND_TTL_S: Final = 15.0


class Reservation:
    """Number of reserved engines by the demand of all gateways."""

    __slots__ = ('_counts', '_demands', '_updated_at')

    def __init__(self) -> None:
        self._demands: Mapping[str, Sequence[int]] = {}
        self._updated_at = -math.inf
        self._counts: dict[str, int] = {}

    def update(self, demands: Mapping[str, Sequence[int]], now: float) -> None:
        """Use the demand that the leader has published.

        Parameters
        ----------
        demands : mapping of str to sequence of int
            Running and queued requests of all gateways by service: streams
            with the lowest latency target, and others.
        now : float
            Time in seconds.
        """
        # A new leader publishes none until it has heard of all gateways.
        if demands:
            self._demands = demands
            self._updated_at = now

    def reserved_engines(
        self, service: str, engines: int, engine: Engine, now: float
    ) -> int:
        """Return how many engines of a service are reserved.

        The default ratio is while only streams are sent: none need to be kept
        from other requests, and streams use any engine when theirs are full.

        Parameters
        ----------
        service : str
            Name of the service.
        engines : int
            Number of its engines, at least two.
        engine : Engine
            Capacity of one engine.
        now : float
            Time in seconds.
        """
        streams, others = 0, 0
        if now <= self._updated_at + _DEMAND_TTL_S:
            streams, others = self._demands.get(service, (0, 0))
        if not others:
            streams = 0
        weight = _DEFAULT_WEIGHT * engines * engine.slots
        even = streams + weight * _DEFAULT_RATIO
        even *= engines / (streams + others + weight)
        most_kept = round(engines * _OTHERS_RATIO)
        kept = min(most_kept, _engines_for(others, engine))
        count = max(_engines_for(streams, engine), round(even))
        count = max(1, min(count, engines - max(1, kept)))
        self._counts[service] = count
        return count

    def last_count(self, service: str) -> int:
        """Return how many engines of a service were last reserved."""
        return self._counts.get(service, 0)


def _engines_for(requests: int, engine: Engine) -> int:
    return math.ceil(requests * _SLOTS_PER_REQUEST / engine.slots)
