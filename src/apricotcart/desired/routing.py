"""Finds the route and the customer of a request."""

from __future__ import annotations

from apricotcart.desired.records import (
    Customer,
    DesiredState,
    Route,
    Service,
)
from apricotcart.desired.urgency import UrgencyTable


class RoutingTable:
    """Index of one desired state.

    Attributes
    ----------
    state : DesiredState
        The state that is indexed.
    urgencies : UrgencyTable
        Ranks the requests.
    """

    __slots__ = (
        '_customers',
        '_routes',
        '_services',
        'state',
        'urgencies',
    )

    def __init__(self, state: DesiredState) -> None:
        """Build the index."""
        self.state = state
        self._routes: dict[str, dict[str, Route]] = {}
        for listed in state.routes:
            of_host = self._routes.setdefault(listed.host.lower(), {})
            of_host[listed.prefix] = listed
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
        """Give the route with the longest prefix of a path.

        Parameters
        ----------
        host : str
            Host name, with or without a port.
        path : str
            Path as it was sent, without a query.
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
        """Give the customer that holds a key."""
        return self._customers.get(key)

    def service(self, name: str) -> Service:
        """Give a service that a route names."""
        return self._services[name]
