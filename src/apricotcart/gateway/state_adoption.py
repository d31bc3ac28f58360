"""Applies a desired state to the parts of a gateway that use it."""

from __future__ import annotations

from apricotcart.desired.routing import RoutingTable
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.state import StateCopy


class StateAdoption:
    """Puts a document in force at a gateway.

    Parameters
    ----------
    state : StateCopy
        Stores the desired state.
    dispatcher : Dispatcher
        Learns the capacity of the engines.
    """

    __slots__ = ('_dispatcher', '_state')

    def __init__(self, state: StateCopy, dispatcher: Dispatcher) -> None:
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
