"""The configuration copy of distribution, as requests use it."""

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
from apricotcart.membership.drain import EndpointDrain
from apricotcart.state.records import Resource

_RETRY_AFTER_S = 1.0
_ROUTE = 'route'


class HeldConfiguration(Configuration):
    """Looks requests up in the copy while it is fresh.

    Parameters
    ----------
    held : ConfigCopy
        The copy; the synchronizer applies updates to it.
    drain : EndpointDrain
        Endpoints that are known not to be draining.
    clock : callable
        Monotonic clock in seconds.
    """

    __slots__ = ('_clock', '_drain', '_held')

    def __init__(
        self,
        held: ConfigCopy,
        drain: EndpointDrain,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Keep the copy."""
        self._held = held
        self._drain = drain
        self._clock = clock

    def require_fresh(self) -> None:
        """Refuse if the copy is older than the freshness bound."""
        if not self._held.is_fresh(self._clock()):
            raise StaleConfigurationError(
                'the configuration is too old to be used',
                retry_after_s=_RETRY_AFTER_S,
            )

    def require_dispatchable(self, endpoint: str) -> None:
        """Refuse an endpoint that may be draining."""
        if not self._drain.may_dispatch(self._clock(), endpoint):
            raise EndpointDrainingError(f'{endpoint} may be draining')

    def is_key_valid(self, key_name: str) -> bool:
        """Tell whether requests with the key may go on."""
        if not self._held.is_fresh(self._clock()):
            return False
        key = self._held.view.get('key', key_name)
        return key is not None and not key.spec['withdrawn']

    def grant_of(self, token: str) -> Grant | None:
        """Give the grant of a key's secret, None if it is not valid."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        key = self._held.view.key_of(digest)
        if key is None or key.spec['withdrawn']:
            return None
        return Grant(customer=key.spec['customer'], key_name=key.name)

    def route(self, name: str) -> RouteView | None:
        """Give a route, or None."""
        view = self._held.view
        route = view.get(_ROUTE, name)
        return None if route is None else _route_view(view, route)

    def routes(self) -> list[RouteView]:
        """Give all routes by name."""
        view = self._held.view
        routes = view.all_of(_ROUTE)
        found = [_route_view(view, routes[name]) for name in sorted(routes)]
        return [route for route in found if route is not None]

    def endpoint_url(self, name: str) -> str:
        """Give the URL of an endpoint, or an empty string."""
        endpoint = self._held.view.get('endpoint', name)
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
