"""Read access of requests to the local configuration copy."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable

from apricotcart.distribution.configcopy import ConfigCopy
from apricotcart.distribution.view import ConfigView
from apricotcart.entry.configuration import Configuration, Grant, RouteView
from apricotcart.entry.errors import (
    EndpointDrainingError,
    StaleConfigurationError,
)
from apricotcart.membership.drain import EndpointEligibility
from apricotcart.state.records import Resource

_RETRY_AFTER_S = 1.0
_ROUTE = 'route'


class CachedConfiguration(Configuration):
    """Reads the local configuration copy and checks its age.

    Parameters
    ----------
    config_copy : ConfigCopy
        The local copy; the synchronizer applies updates to it.
    eligibility : EndpointEligibility
        Endpoints that are known not to be draining.
    clock : callable
        Monotonic clock in seconds.
    """

    __slots__ = ('_clock', '_eligibility', '_config_copy')

    def __init__(
        self,
        config_copy: ConfigCopy,
        eligibility: EndpointEligibility,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._config_copy = config_copy
        self._eligibility = eligibility
        self._clock = clock

    def require_fresh(self) -> None:
        """Raise if the copy exceeds the freshness bound."""
        if not self._config_copy.is_fresh(self._clock()):
            raise StaleConfigurationError(
                'the configuration copy is too old to be used',
                retry_after_s=_RETRY_AFTER_S,
            )

    def require_dispatchable(self, endpoint: str) -> None:
        """Raise if the endpoint may be draining."""
        if not self._eligibility.may_dispatch(self._clock(), endpoint):
            raise EndpointDrainingError(f'endpoint {endpoint} may be draining')

    def is_key_valid(self, key_name: str) -> bool:
        """Return whether requests with the key may continue."""
        if not self._config_copy.is_fresh(self._clock()):
            return False
        key = self._config_copy.view.get('key', key_name)
        return key is not None and not key.spec['withdrawn']

    def grant_of(self, token: str) -> Grant | None:
        """Return the grant for a key's secret, or None if it is not valid."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        key = self._config_copy.view.key_of(digest)
        if key is None or key.spec['withdrawn']:
            return None
        return Grant(customer=key.spec['customer'], key_name=key.name)

    def route(self, name: str) -> RouteView | None:
        """Return a route, or None if there is none of this name."""
        view = self._config_copy.view
        route = view.get(_ROUTE, name)
        return None if route is None else _route_view(view, route)

    def routes(self) -> list[RouteView]:
        """Return all routes, sorted by name."""
        view = self._config_copy.view
        routes = view.all_of(_ROUTE)
        views = [_route_view(view, routes[name]) for name in sorted(routes)]
        return [route for route in views if route is not None]

    def endpoint_url(self, name: str) -> str:
        """Return the URL of an endpoint, or an empty string."""
        endpoint = self._config_copy.view.get('endpoint', name)
        if endpoint is None:
            return ''
        url: str = endpoint.spec['url']
        return url.rstrip('/')


def _route_view(view: ConfigView, route: Resource) -> RouteView | None:
    spec = route.spec
    service_class = view.get('class', spec['class'])
    if service_class is None:
        return None
    targets = service_class.spec
    return RouteView(
        name=route.name,
        kind=spec['kind'],
        class_name=spec['class'],
        pool=spec['pool'],
        model=spec['model'] or '',
        is_public=spec['public'],
        is_idempotent=spec['idempotent'],
        customers=frozenset(spec['customers'] or ()),
        tier=targets['tier'],
        first_token_s=targets['first_token_s'],
        between_tokens_s=targets['between_tokens_s'],
        total_s=targets['total_s'],
    )
