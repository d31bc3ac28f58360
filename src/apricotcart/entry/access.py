"""Which request may use which route."""

from __future__ import annotations

from apricotcart.entry.configuration import Configuration, Grant, RouteView
from apricotcart.entry.errors import UnknownRouteError
from apricotcart.web.errors import UnauthorizedError
from apricotcart.web.request import WebRequest


class Access:
    """Identifies callers; the identity belongs to one request only.

    Parameters
    ----------
    configuration : Configuration
        Keys and routes.
    """

    __slots__ = ('_configuration',)

    def __init__(self, configuration: Configuration) -> None:
        """Keep the configuration."""
        self._configuration = configuration

    def grant(self, req: WebRequest) -> Grant:
        """Give the grant of a request.

        Raises
        ------
        StaleConfigurationError
            If keys cannot be checked because the copy is too old.
        UnauthorizedError
            If the request has a key that is not valid.
        """
        self._configuration.require_fresh()
        token = req.bearer_token()
        if not token:
            return Grant()
        grant = self._configuration.grant_of(token)
        if grant is None:
            raise UnauthorizedError('the key is not valid')
        return grant

    def route(self, grant: Grant, name: str, kind: str) -> RouteView:
        """Give the route if the request may use it.

        Raises
        ------
        UnknownRouteError
            If there is no such route for the customer. A route of other
            customers gets the same answer, so that names do not leak.
        UnauthorizedError
            If the request has no key and the route is not public.
        """
        route = self._configuration.route(name)
        if route is not None and route.kind == kind and route.admits(grant):
            return route
        if not grant.customer:
            raise UnauthorizedError('the request has no key')
        raise UnknownRouteError(f'no route {name!r} for this customer')

    def routes(self, grant: Grant, kind: str) -> list[RouteView]:
        """Give the routes of a kind that the request may use."""
        return [
            route
            for route in self._configuration.routes()
            if route.kind == kind and route.admits(grant)
        ]
