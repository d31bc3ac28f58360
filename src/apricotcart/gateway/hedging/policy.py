"""Decides when a request is late enough for a second attempt.

Second attempts help while single endpoints are slow and others have free
capacity. While all endpoints are slow, what counts as late rises with the
answer times, and the budget limits the additional load.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Mapping, Sequence
from heapq import nlargest
from typing import Final, Self

from apricotcart.desired.records import Route
from apricotcart.gateway.hedging.answer_times import (
    AnswerTimes,
    Counts,
    quantile_s,
)
from apricotcart.gateway.hedging.budget import HedgeBudget
from apricotcart.settings.fleet import FleetConfig

# Answers of one kind without which it is not known what is late.
_MIN_ANSWERS: Final = 20.0
# Ratio of the answers that a second attempt is expected to need less time than.
_USUAL_RATIO: Final = 0.5
# Kinds of requests that are reported to the other hosts.
_MAX_REPORTED_KINDS: Final = 24
# Prompt tokens up to which requests are of the same size, smallest first. What
# is late for a short prompt is usual for a long one.
_SIZE_BOUNDS_TOKENS: Final = (500, 1500, 4000, 10_000, 25_000)


class HedgeSettings:
    """What operators allow.

    Attributes
    ----------
    share : float
        Second attempts for each request; 0 for none.
    late_ratio : float
        Ratio of the answers of a kind that come before a second attempt.
    routes : frozenset of str
        Names of the routes that it may be made on; empty for all.
    """

    __slots__ = ('late_ratio', 'routes', 'share')

    def __init__(
        self,
        *,
        share: float = 0,
        late_ratio: float = 0.95,
        routes: Sequence[str] = (),
    ) -> None:
        self.share = share
        self.late_ratio = late_ratio
        self.routes = frozenset(routes)

    @classmethod
    def from_config(cls, cfg: FleetConfig) -> Self:
        """Return what the settings file allows."""
        hedging = cfg.hedging
        return cls(
            share=hedging.share,
            late_ratio=hedging.late_ratio,
            routes=hedging.routes or (),
        )

    def allows(self, route: Route) -> bool:
        """Return whether second attempts may be made on a route.

        Requests that must not run twice, or at one endpoint only, have none.
        """
        if not self.share or not route.is_retryable:
            return False
        is_named = not self.routes or route.name in self.routes
        return is_named and route.max_endpoints > 1


class HedgePolicy:
    """Answer times by kind of request, and the budget of second attempts.

    Parameters
    ----------
    settings : HedgeSettings
        What operators allow.
    """

    __slots__ = ('_budget', '_lock', '_remote', '_settings', '_times')

    def __init__(self, settings: HedgeSettings) -> None:
        self._settings = settings
        self._budget = HedgeBudget(settings.share)
        self._lock = threading.Lock()
        self._times: dict[str, AnswerTimes] = {}
        self._remote: Mapping[str, Counts] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether second attempts are made at all."""
        return self._settings.share > 0

    @property
    def has_room(self) -> bool:
        """Whether the budget allows a second attempt now."""
        return self._budget.has_room

    def allows(self, route: Route) -> bool:
        """Return whether second attempts may be made on a route."""
        return self._settings.allows(route)

    def on_request(self) -> None:
        """Count a request that a second attempt could be made of."""
        with self._lock:
            self._budget.on_request()

    def on_second_attempt(self) -> None:
        """Count a second attempt."""
        with self._lock:
            self._budget.take()

    def on_answer(self, now: float, kind: str, elapsed_s: float) -> None:
        """Record the time until an answer, or until it was given up.

        Parameters
        ----------
        now : float
            Time in seconds.
        kind : str
            Kind of the request, of `kind_of`.
        elapsed_s : float
            Time since the request was sent, in seconds.
        """
        with self._lock:
            times = self._times.setdefault(kind, AnswerTimes())
            times.add(now, elapsed_s)

    def delay_s(self, kind: str, remaining_s: float, now: float) -> float:
        """Return when a second attempt is due, in seconds from the send.

        Parameters
        ----------
        kind : str
            Kind of the request.
        remaining_s : float
            Time to the deadline in seconds.
        now : float
            Time in seconds.

        Returns
        -------
        float
            Infinite if none is worthwhile: what is late is not known, or the
            second attempt would most likely end after the deadline.
        """
        counts = self._counts(kind, now)
        late_s = quantile_s(counts, self._settings.late_ratio, _MIN_ANSWERS)
        usual_s = quantile_s(counts, _USUAL_RATIO, _MIN_ANSWERS)
        if late_s + usual_s > remaining_s:
            return math.inf
        return late_s

    def report(self, now: float) -> dict[str, dict[int, float]]:
        """Return the answer times of this host by kind, in wire form."""
        with self._lock:
            counts = self._recent_counts(now)
        reported = nlargest(
            _MAX_REPORTED_KINDS,
            counts,
            key=lambda kind: sum(counts[kind].values()),
        )
        return {kind: counts[kind] for kind in reported}

    def update_remote(self, times: Mapping[str, Counts]) -> None:
        """Set the answer times of all hosts together, by kind."""
        self._remote = times

    def _recent_counts(self, now: float) -> dict[str, dict[int, float]]:
        """Return all counts; forget the kinds without any."""
        counts: dict[str, dict[int, float]] = {}
        for kind, times in list(self._times.items()):
            counts[kind] = times.counts(now)
            if not counts[kind]:
                # Routes come and go.
                counts.pop(kind)
                self._times.pop(kind)
        return counts

    def _counts(self, kind: str, now: float) -> Counts:
        # The sums of all hosts include what this host has reported.
        remote = self._remote.get(kind)
        if remote:
            return remote
        with self._lock:
            times = self._times.get(kind)
            return times.counts(now) if times else {}


def kind_of(route: Route, prompt_tokens: int) -> str:
    """Return the kind of a request: those that take about as long.

    Parameters
    ----------
    route : Route
        Route of the request.
    prompt_tokens : int
        Number of prompt tokens.
    """
    size = sum(prompt_tokens > bound for bound in _SIZE_BOUNDS_TOKENS)
    return f'{route.name}/{size}'
