"""Shares the answer times of this host with the others.

A host has too few requests of one kind to know soon what is late for it.
"""

from __future__ import annotations

from typing import Final

from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)
from apricotcart.gateway.hedging.policy import HedgePolicy
from apricotcart.gateway.shared_figures import FigureUser

# Interval of the reports; what is late changes over seconds.
_REPORT_INTERVAL_S: Final = 1.0


class HedgeFigures(FigureUser):
    """Reports and applies answer times.

    Parameters
    ----------
    policy : HedgePolicy
        Has the answer times of this host.
    """

    __slots__ = ('_policy', '_reported_at')

    def __init__(self, policy: HedgePolicy) -> None:
        self._policy = policy
        self._reported_at: float = -_REPORT_INTERVAL_S

    def add_figures(self, figures: GatewayFigures, now: float) -> None:
        """Add the answer times of this host."""
        if now < self._reported_at + _REPORT_INTERVAL_S:
            return
        self._reported_at = now
        figures.answer_times = self._policy.report(now)

    def apply_figures(self, shared: SharedFigures, requested_at: float) -> None:
        """Use the answer times of all hosts, if the leader sent any."""
        if shared.answer_times:
            self._policy.update_remote(shared.answer_times)
