"""Parts of a gateway that share figures with the other gateways."""

from __future__ import annotations

from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.dispatching.shared_demand import SharedDemand
from apricotcart.gateway.shared_figures import FigureExchange, FigureUser


def build_exchange(
    dispatcher: Dispatcher, *users: FigureUser
) -> FigureExchange:
    """Return the exchange of figures of one gateway.

    Parameters
    ----------
    dispatcher : Dispatcher
        Request queue and placement of the gateway.
    users : FigureUser
        Other parts that share figures.
    """
    return FigureExchange((SharedDemand(dispatcher), *users))
