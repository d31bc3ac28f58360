"""Joins the load of each customer over all gateways."""

from __future__ import annotations

import threading

from apricotcart.coordinator.exchange_messages import (
    LOAD_FIGURES,
    GatewayFigures,
    SharedFigures,
)
from apricotcart.coordinator.figure_totals import FigureTotals
from apricotcart.coordinator.shared_figures import FigureStore


class JoinedCustomerLoads(FigureStore):
    """Sums of running and queued tokens by service and customer."""

    __slots__ = ('_lock', '_totals')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._totals = FigureTotals(LOAD_FIGURES)

    def on_figures(
        self, incarnation: str, figures: GatewayFigures, now: float
    ) -> None:
        """Store the load of the customers of one gateway."""
        with self._lock:
            self._totals.replace(incarnation, figures.customer_loads, now)

    def add_shared(
        self, incarnation: str, shared: SharedFigures, now: float
    ) -> None:
        """Set the load of the customers of all other gateways."""
        with self._lock:
            shared.customer_loads = self._totals.excluding(incarnation)
