"""Joins the demand of all gateways for engines of latency-critical streams."""

from __future__ import annotations

import math
import threading
from collections.abc import Mapping, Sequence
from typing import Final

from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)
from apricotcart.coordinator.figure_totals import FigureTotals
from apricotcart.coordinator.shared_figures import FigureStore

# Streams with the lowest latency target, and other requests.
_FIGURES: Final = 2
# Group of the sums, which are by service.
_ALL: Final = ''
# Time constants of the average: streams must not wait for their engines, and
# engines that alternate between both kinds lose the prefixes that they hold.
_RISE_S: Final = 0.3
_FALL_S: Final = 3.0
# Change of the average by which the published demand is replaced.
_CHANGE_RATIO: Final = 0.15
_CHANGE_REQUESTS: Final = 2
# Time after the first figures in which none are published, since a new leader
# has not heard of all gateways.
_WARMUP_S: Final = 1.0


class StreamDemands(FigureStore):
    """Publishes the same demand to all gateways.

    Gateways reserve engines by it. It changes only when the average of the
    demand differs from it by more than 15 % and 2 requests, so that the
    reserved engines stay the same while the load does.
    """

    __slots__ = (
        '_averages',
        '_first_at',
        '_lock',
        '_published',
        '_totals',
        '_updated_at',
    )

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._totals = FigureTotals(_FIGURES)
        self._averages: dict[str, list[float]] = {}
        self._published: dict[str, list[int]] = {}
        self._first_at = math.inf
        self._updated_at = -math.inf

    def on_figures(
        self, incarnation: str, figures: GatewayFigures, now: float
    ) -> None:
        """Store the demand of one gateway."""
        with self._lock:
            if now > self._updated_at + _WARMUP_S:
                # No gateway has synced for so long: another host led.
                self._first_at = now
                self._averages.clear()
                self._published.clear()
            demands = {_ALL: figures.stream_demands}
            self._totals.replace(incarnation, demands, now)
            self._update(now)

    def add_shared(
        self, incarnation: str, shared: SharedFigures, now: float
    ) -> None:
        """Set the demand of all gateways."""
        with self._lock:
            if now >= self._first_at + _WARMUP_S:
                shared.stream_demands = dict(self._published)

    def _update(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        self._updated_at = now
        totals = self._totals.excluding('').get(_ALL, {})
        for service in totals.keys() | self._averages.keys():
            total = totals.get(service, [0, 0])
            average = _average(self._averages.get(service), total, elapsed_s)
            self._averages[service] = average
            published = self._published.get(service)
            if published is None or _has_changed(published, average):
                self._published[service] = [round(mean) for mean in average]
        self._forget_unused(totals)

    def _forget_unused(self, totals: Mapping[str, Sequence[int]]) -> None:
        for service, average in list(self._averages.items()):
            if service not in totals and max(average) < 1:
                self._averages.pop(service)
                self._published.pop(service)


def _average(
    previous: Sequence[float] | None, total: Sequence[int], elapsed_s: float
) -> list[float]:
    if previous is None:
        return [float(figure) for figure in total]
    return [
        _approach(mean, figure, elapsed_s)
        for mean, figure in zip(previous, total, strict=True)
    ]


def _approach(mean: float, figure: int, elapsed_s: float) -> float:
    constant_s = _RISE_S if figure > mean else _FALL_S
    return figure + (mean - figure) * math.exp(-elapsed_s / constant_s)


def _has_changed(published: Sequence[int], average: Sequence[float]) -> bool:
    return any(
        abs(mean - known) > _CHANGE_REQUESTS + _CHANGE_RATIO * known
        for known, mean in zip(published, average, strict=True)
    )
