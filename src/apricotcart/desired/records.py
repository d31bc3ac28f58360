"""Records of a desired state."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence

from apricotcart.codec.record import Record


class RouteKind(enum.StrEnum):
    """How requests of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


class Split(Record):
    """One service of a route and its traffic weight."""

    __slots__ = ('service', 'weight')

    def __init__(self, *, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route(Record):
    """Route for the requests to one host name and path prefix.

    Attributes
    ----------
    timeout_s : float
        Timeout of requests in seconds.
    target_s : float
        Target time to first byte in seconds.
    pause_s : float or None
        Target for the maximum time between two events, in seconds.
    max_endpoints : int
        Maximum number of sends of one attempt once an endpoint may have run
        it.
    priority : int
        Priority; 0 is the most urgent.
    resumable : bool
        Whether another endpoint may continue a stream.
    has_prompt : bool
        Whether requests state the parts of their prompt.
    """

    __slots__ = (
        'has_prompt',
        'host',
        'is_public',
        'kind',
        'max_endpoints',
        'name',
        'pause_s',
        'prefix',
        'priority',
        'resumable',
        'splits',
        'target_s',
        'timeout_s',
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        prefix: str,
        kind: RouteKind,
        splits: Sequence[Split],
        timeout_s: float,
        target_s: float,
        pause_s: float | None = None,
        max_endpoints: int = 1,
        priority: int = 0,
        is_public: bool = False,
        resumable: bool = False,
        has_prompt: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.splits = tuple(splits)
        self.timeout_s = timeout_s
        self.target_s = target_s
        self.pause_s = pause_s
        self.max_endpoints = max_endpoints
        self.priority = priority
        self.is_public = is_public
        self.resumable = resumable
        self.has_prompt = has_prompt

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


class Engine(Record):
    """Capacity of the inference engines of a service.

    Attributes
    ----------
    slots : int
        Maximum number of concurrent requests.
    kv_tokens : int
        KV cache size in tokens, for running requests and cached prompts.
    """

    __slots__ = ('kv_tokens', 'slots')

    def __init__(self, *, slots: int, kv_tokens: int) -> None:
        self.slots = slots
        self.kv_tokens = kv_tokens


class Scaling(Record):
    """Bounds and prices for scaling the endpoints of a service.

    Attributes
    ----------
    least, most : int
        Minimum and maximum number of endpoints in each availability zone.
    boot_s : float
        Time from ordering an endpoint to its first served request, in
        seconds.
    spot_share : float or None
        Price of a spot endpoint as a ratio of the regular price; None if
        there are no spot endpoints.
    zone_prices : dict of str to float
        Price of an endpoint per second by availability zone.
    """

    __slots__ = ('boot_s', 'least', 'most', 'spot_share', 'zone_prices')

    def __init__(
        self,
        *,
        least: int,
        most: int,
        boot_s: float,
        spot_share: float | None,
        zone_prices: Mapping[str, float],
    ) -> None:
        self.least = least
        self.most = most
        self.boot_s = boot_s
        self.spot_share = spot_share
        self.zone_prices = dict(zone_prices)


class Service(Record):
    """A group of interchangeable endpoints that routes refer to.

    Attributes
    ----------
    cold_s : float
        Time for which an endpoint is cold after its start, in seconds.
    cold_per_s : float
        Requests a second that a cold endpoint takes from all hosts together; 0
        if cold endpoints are only slow.
    """

    __slots__ = (
        'cold_per_s',
        'cold_s',
        'engine',
        'health_path',
        'max_conns',
        'name',
        'scaling',
    )

    def __init__(
        self,
        *,
        name: str,
        health_path: str,
        max_conns: int | None,
        engine: Engine | None = None,
        scaling: Scaling | None = None,
        cold_s: float = 0,
        cold_per_s: float = 0,
    ) -> None:
        self.cold_s = cold_s
        self.cold_per_s = cold_per_s
        self.name = name
        self.health_path = health_path
        self.max_conns = max_conns
        self.engine = engine
        self.scaling = scaling


class Customer(Record):
    """A customer with its keys.

    Its priority takes precedence over that of the route.
    """

    __slots__ = ('keys', 'name', 'priority')

    def __init__(
        self,
        *,
        name: str,
        keys: Sequence[str],
        priority: int | None = None,
    ) -> None:
        self.name = name
        self.keys = tuple(keys)
        self.priority = priority


class CallerLimits(Record):
    """Limits on the requests of callers.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of the headers and of the body.
    header_timeout_s, idle_timeout_s : float
        Timeout for the headers, and idle timeout of connections, in seconds.
    """

    __slots__ = (
        'body_bytes',
        'header_bytes',
        'header_timeout_s',
        'idle_timeout_s',
    )

    def __init__(
        self,
        *,
        header_bytes: int,
        body_bytes: int,
        header_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class DesiredState(Record):
    """One version of the configuration that operators declare.

    Attributes
    ----------
    customers : tuple of Customer or None
        None if requests need no key.
    """

    __slots__ = ('customers', 'limits', 'routes', 'services', 'version')

    def __init__(
        self,
        *,
        version: int,
        routes: Sequence[Route],
        services: Sequence[Service],
        limits: CallerLimits,
        customers: Sequence[Customer] | None,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = tuple(services)
        self.limits = limits
        self.customers = None if customers is None else tuple(customers)
