"""What a request needs to know of the configuration."""

from __future__ import annotations

from abc import abstractmethod

from apricotcart.entry.running import KeyCheck


class Grant:
    """The customer and the key that a request came with.

    Both names are empty for a request without a key on a public route.
    """

    __slots__ = ('customer', 'key_name')

    def __init__(self, *, customer: str = '', key_name: str = '') -> None:
        """Keep the names."""
        self.customer = customer
        self.key_name = key_name


class RouteView:
    """A route with the class and pool that it leads to.

    Attributes
    ----------
    first_token_s, between_tokens_s, total_s : float
        Targets of the route's class in seconds.
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
        """Keep the fields."""
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

    def admits(self, grant: Grant) -> bool:
        """Tell whether the route is open to the request."""
        if self.is_public:
            return True
        if not grant.customer:
            return False
        return not self.customers or grant.customer in self.customers


class Configuration(KeyCheck):
    """The configuration copy as requests use it."""

    @abstractmethod
    def require_fresh(self) -> None:
        """Check the age of the copy.

        Raises
        ------
        StaleConfigurationError
            If the copy is older than the freshness bound.
        """

    @abstractmethod
    def require_dispatchable(self, endpoint: str) -> None:
        """Check right before a send that the endpoint takes new work.

        Raises
        ------
        EndpointDrainingError
            If the endpoint is draining, or may be.
        """

    @abstractmethod
    def grant_of(self, token: str) -> Grant | None:
        """Give the grant of a key's secret, None if it is not valid."""

    @abstractmethod
    def route(self, name: str) -> RouteView | None:
        """Give a route, or None."""

    @abstractmethod
    def routes(self) -> list[RouteView]:
        """Give all routes by name."""

    @abstractmethod
    def endpoint_url(self, name: str) -> str:
        """Give the URL of an endpoint, or an empty string."""
