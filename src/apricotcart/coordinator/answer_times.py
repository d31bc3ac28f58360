"""Joins the answer times of all gateways."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Mapping
from typing import Final

from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)
from apricotcart.coordinator.shared_figures import FigureStore
from apricotcart.gateway.hedging.answer_times import Counts, sum_counts

# Reports of gateways that are older no longer count.
_TTL_S: Final = 10.0
# Interval at which the reports are summed up.
_SUM_INTERVAL_S: Final = 1.0
# Kinds of requests in a reply.
_MAX_KINDS: Final = 24

Times = Mapping[str, Counts]


class _Report:
    """Last report of one gateway.

    Attributes
    ----------
    times : mapping
        Answers by kind and bucket.
    received_at : float
        When it came, in seconds.
    """

    __slots__ = ('received_at', 'times')

    def __init__(self, times: Times, received_at: float) -> None:
        self.times = times
        self.received_at = received_at


class AnswerTimesStore(FigureStore):
    """Sums of the answer times that gateways report."""

    __slots__ = ('_lock', '_reports', '_sums', '_summed_at')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._reports: dict[str, _Report] = {}
        self._sums: Times = {}
        self._summed_at: float = -_SUM_INTERVAL_S

    def on_figures(
        self, incarnation: str, figures: GatewayFigures, now: float
    ) -> None:
        """Store the answer times of one gateway."""
        if figures.answer_times:
            with self._lock:
                self._reports[incarnation] = _Report(figures.answer_times, now)

    def add_shared(
        self, incarnation: str, shared: SharedFigures, now: float
    ) -> None:
        """Add the sums for a gateway that reports answer times itself."""
        with self._lock:
            if incarnation not in self._reports:
                return
            if now >= self._summed_at + _SUM_INTERVAL_S:
                self._sum_up(now)
            shared.answer_times = self._sums

    def _sum_up(self, now: float) -> None:
        self._summed_at = now
        self._reports = {
            incarnation: report
            for incarnation, report in self._reports.items()
            if report.received_at >= now - _TTL_S
        }
        self._sums = _largest(_joined(self._reports.values()))


def _joined(reports: Iterable[_Report]) -> Times:
    parts: dict[str, list[Counts]] = {}
    for report in reports:
        for kind, counts in report.times.items():
            parts.setdefault(kind, []).append(counts)
    sums: dict[str, Counts] = {}
    for name, counted in parts.items():
        sums[name] = sum_counts(counted)
    return sums


def _largest(sums: Times) -> Times:
    """Return the kinds with most answers."""
    ordered = sorted(sums, key=lambda kind: _answers(sums[kind]))
    largest: dict[str, Counts] = {}
    for name in ordered[-_MAX_KINDS:]:
        largest[name] = sums[name]
    return largest


def _answers(counts: Counts) -> float:
    return sum(counts.values())
