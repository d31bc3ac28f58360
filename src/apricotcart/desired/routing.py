"""Looks up the route and the customer of a request."""

from __future__ import annotations

from apricotcart.desired.records import (
    Customer,
    DesiredState,
    Route,
    Service,
)
from apricotcart.desired.urgency import UrgencyTable


class RoutingTable:
    """Lookup tables for one desired state.

    Attributes
    ----------
    state : DesiredState
        The desired state.
    urgencies : UrgencyTable
        Urgency levels of requests.
    """

    __slots__ = (
        '_customers',
        '_routes',
        '_services',
        'state',
        'urgencies',
    )

    def __init__(self, state: DesiredState) -> None:
        self.state = state
        self._routes: dict[str, dict[str, Route]] = {}
        for declared in state.routes:
            host_routes = self._routes.setdefault(declared.host.lower(), {})
            host_routes[declared.prefix] = declared
        self._services = {service.name: service for service in state.services}
        self.urgencies = UrgencyTable(state)
        self._customers = {
            key: customer
            for customer in state.customers or ()
            for key in customer.keys
        }

    @property
    def needs_key(self) -> bool:
        """Whether requests must carry a key."""
        return self.state.customers is not None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        Parameters
        ----------
        host : str
            Host name, with or without a port.
        path : str
            Path in its original form, without the query.
        """
        routes = self._routes.get(host.partition(':')[0].lower())
        if not routes:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def customer(self, key: str) -> Customer | None:
        """Return the customer that holds a key."""
        return self._customers.get(key)

    def service(self, name: str) -> Service:
        """Return a service that a route refers to."""
        return self._services[name]
