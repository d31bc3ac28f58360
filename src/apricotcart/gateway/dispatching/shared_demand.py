"""Shares this host's demand with the other gateways and uses theirs."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.dispatching.endpoint_state import Requirements
from apricotcart.gateway.dispatching.joined_loads import count_loads
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.shared_figures import FigureUser


class SharedDemand(FigureUser):
    """Demand of this host, and that of all gateways.

    Parameters
    ----------
    dispatcher : Dispatcher
        Has the running and queued requests.
    """

    __slots__ = ('_dispatcher',)

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    def add_figures(self, figures: GatewayFigures, now: float) -> None:
        """Set the demand of this host."""
        report = self._dispatcher.load_report()
        figures.customer_loads = count_loads(report.running, report.queued)
        figures.stream_demands = count_streams(
            [*report.running, *report.queued]
        )

    def apply_figures(self, shared: SharedFigures, requested_at: float) -> None:
        """Use the demand of all gateways."""
        self._dispatcher.update_placement(
            partial(self._apply, shared, requested_at)
        )

    def _apply(
        self, shared: SharedFigures, requested_at: float, placement: Placement
    ) -> None:
        placement.reservation.update(shared.stream_demands, requested_at)
        self._dispatcher.joined_loads.update(
            shared.customer_loads, requested_at
        )


def count_streams(
    requirements: Iterable[Requirements],
) -> dict[str, list[int]]:
    """Count latency-critical streams and other requests by service."""
    counts: dict[str, list[int]] = {}
    for request in requirements:
        count = counts.setdefault(request.service, [0, 0])
        count[0 if request.is_latency_critical else 1] += 1
    return counts
