"""Applies a desired state to the parts of a gateway that use it."""

from __future__ import annotations

from apricotcart.desired.routing import RoutingTable
from apricotcart.gateway.dispatching.cold_limits import ColdLimit
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.state import StateCopy
from apricotcart.settings.fleet import FleetBoundSettings


class StateAdoption:
    """Puts a document in force at a gateway.

    Parameters
    ----------
    state : StateCopy
        Stores the desired state.
    dispatcher : Dispatcher
        Learns the capacity of the engines, and what cold endpoints bear.
    bounds : FleetBoundSettings
        How much more a cold endpoint withstands than its service names.
    """

    __slots__ = ('_bounds', '_dispatcher', '_state')

    def __init__(
        self,
        state: StateCopy,
        dispatcher: Dispatcher,
        bounds: FleetBoundSettings,
    ) -> None:
        self._bounds = bounds
        self._state = state
        self._dispatcher = dispatcher

    def adopt(self, document: bytes, confirmed_at: float | None = None) -> bool:
        """Apply a document; return whether it was newer than the copy.

        Parameters and errors are those of `StateCopy.adopt`.
        """
        table = self._state.adopt(document, confirmed_at)
        if table is None:
            return False
        self._configure(table)
        return True

    def _configure(self, table: RoutingTable) -> None:
        engines = {
            service.name: service.engine
            for service in table.state.services
            if service.engine is not None
        }
        self._dispatcher.update_placement(
            lambda placement: placement.configure(engines),
        )
        cold_limits = {
            service.name: ColdLimit.from_service(
                service,
                self._bounds.cold_overshoot,
                self._bounds.cold_tolerance,
            )
            for service in table.state.services
            if service.cold_per_s > 0
        }
        self._dispatcher.update_placement(
            lambda placement: placement.limits.cold.configure(cold_limits),
        )
