"""What the desired state decides about one request."""

from __future__ import annotations

from apricotcart.desired.records import Customer, Route
from apricotcart.desired.urgency import Urgency


class RoutingDecision:
    """Route, customer and service of a request, and the state used for it.

    Attributes
    ----------
    route : Route
        Route of the request.
    customer : Customer or None
        Customer that holds the key; None on public routes.
    service : str
        Service that was chosen among those of the route.
    urgency : Urgency
        Urgency of the request at that service.
    version : int
        Version of the desired state.
    state_age_s : float
        Time since that state was last confirmed as the newest, in seconds.
    """

    __slots__ = (
        'customer',
        'route',
        'service',
        'state_age_s',
        'urgency',
        'version',
    )

    def __init__(
        self,
        *,
        route: Route,
        customer: Customer | None,
        service: str,
        urgency: Urgency,
        version: int,
        state_age_s: float,
    ) -> None:
        self.route = route
        self.customer = customer
        self.service = service
        self.urgency = urgency
        self.version = version
        self.state_age_s = state_age_s
