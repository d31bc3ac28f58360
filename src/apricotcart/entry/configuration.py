"""Interface to the configuration that requests need."""

from __future__ import annotations

from abc import abstractmethod

from apricotcart.entry.running import KeyCheck


class Grant:
    """The customer and API key of a request.

    Both names are empty for a request without a key.
    """

    __slots__ = ('customer', 'key_name')

    def __init__(self, *, customer: str = '', key_name: str = '') -> None:
        self.customer = customer
        self.key_name = key_name


class RouteView:
    """A route with its service class and pool.

    Attributes
    ----------
    first_token_s, between_tokens_s, total_s : float
        Latency targets of the route's class, in seconds.
    """

    __slots__ = (
        'between_tokens_s',
        'class_name',
        'customers',
        'first_token_s',
        'is_idempotent',
        'is_public',
        'kind',
        'model',
        'name',
        'pool',
        'tier',
        'total_s',
    )

    def __init__(
        self,
        *,
        name: str,
        kind: str,
        class_name: str,
        pool: str,
        model: str,
        is_public: bool,
        is_idempotent: bool,
        customers: frozenset[str],
        tier: int,
        first_token_s: float,
        between_tokens_s: float,
        total_s: float,
    ) -> None:
        self.name = name
        self.kind = kind
        self.class_name = class_name
        self.pool = pool
        self.model = model
        self.is_public = is_public
        self.is_idempotent = is_idempotent
        self.customers = customers
        self.tier = tier
        self.first_token_s = first_token_s
        self.between_tokens_s = between_tokens_s
        self.total_s = total_s

    def allows(self, grant: Grant) -> bool:
        """Return whether a request with the grant may use the route."""
        if self.is_public:
            return True
        if not grant.customer:
            return False
        return not self.customers or grant.customer in self.customers


class Configuration(KeyCheck):
    """Read access of requests to the configuration copy."""

    @abstractmethod
    def require_fresh(self) -> None:
        """Check that the copy is recent enough.

        Raises
        ------
        StaleConfigurationError
            If the copy is older than the freshness bound.
        """

    @abstractmethod
    def require_dispatchable(self, endpoint: str) -> None:
        """Check, right before sending, that the endpoint accepts new work.

        Raises
        ------
        EndpointDrainingError
            If the endpoint is draining, or may be draining.
        """

    @abstractmethod
    def grant_of(self, token: str) -> Grant | None:
        """Return the grant for a key's secret, or None if it is not valid."""

    @abstractmethod
    def route(self, name: str) -> RouteView | None:
        """Return a route, or None if there is none of this name."""

    @abstractmethod
    def routes(self) -> list[RouteView]:
        """Return all routes, sorted by name."""

    @abstractmethod
    def endpoint_url(self, name: str) -> str:
        """Return the URL of an endpoint, or an empty string."""
