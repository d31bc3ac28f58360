"""Authentication of callers and their access to routes."""

from __future__ import annotations

from apricotcart.entry.configuration import Configuration, Grant, RouteView
from apricotcart.entry.errors import UnknownRouteError
from apricotcart.web.errors import UnauthorizedError
from apricotcart.web.request import WebRequest


class AccessControl:
    """Authenticates callers and checks their access to routes.

    An identity applies to one request only; none is kept between requests.

    Parameters
    ----------
    configuration : Configuration
        Source of keys and routes.
    """

    __slots__ = ('_configuration',)

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def authenticate(self, req: WebRequest) -> Grant:
        """Return the customer and key of a request.

        A request without a key gets an empty grant.

        Raises
        ------
        StaleConfigurationError
            If keys cannot be checked because the configuration copy is too
            old.
        UnauthorizedError
            If the request has a key that is not valid.
        """
        self._configuration.require_fresh()
        token = req.bearer_token()
        if not token:
            return Grant()
        grant = self._configuration.grant_of(token)
        if grant is None:
            raise UnauthorizedError('the API key is not valid')
        return grant

    def route(self, grant: Grant, name: str, kind: str) -> RouteView:
        """Return the route if the request may use it.

        Raises
        ------
        UnknownRouteError
            If the customer may use no such route. Routes of other customers
            give the same error, so that their names do not leak.
        UnauthorizedError
            If the request has no key and the route is not public.
        """
        route = self._configuration.route(name)
        if route is not None and route.kind == kind and route.allows(grant):
            return route
        if not grant.customer:
            raise UnauthorizedError('the request has no API key')
        raise UnknownRouteError(f'no route {name!r} for this customer')

    def routes(self, grant: Grant, kind: str) -> list[RouteView]:
        """Return the routes of a kind that the request may use."""
        return [
            route
            for route in self._configuration.routes()
            if route.kind == kind and route.allows(grant)
        ]
