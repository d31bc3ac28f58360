"""What a desired state declares."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence

from apricotcart.codec.record import Record


class RouteKind(enum.StrEnum):
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'


class Split(Record):
    """One service of a route and its weight."""

    __slots__ = ('service', 'weight')

    def __init__(self, *, service: str, weight: float) -> None:
        """Keep the fields."""
        self.service = service
        self.weight = weight


class Route(Record):
    """Requests of one host name and path prefix.

    Attributes
    ----------
    timeout_s : float
        Longest time that a caller is kept waiting.
    target_s : float
        Time to the first byte that is on time.
    pause_s : float or None
        Longest pause between two events that is on time.
    max_endpoints : int
        Endpoints that one attempt of a caller may be sent to.
    priority : int
        Rank, 0 is the most urgent.
    resumable : bool
        Whether another endpoint may continue a stream.
    has_prompt : bool
        Whether requests carry the parts of their prompt.
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
        """Keep the fields."""
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
        Requests that run at the same time.
    kv_tokens : int
        Tokens that running requests and cached prompts may keep.
    """

    __slots__ = ('kv_tokens', 'slots')

    def __init__(self, *, slots: int, kv_tokens: int) -> None:
        """Keep the fields."""
        self.slots = slots
        self.kv_tokens = kv_tokens


class Scaling(Record):
    """Bounds and prices for ordering the endpoints of a service.

    Attributes
    ----------
    least, most : int
        Bounds on the endpoints in each availability zone.
    boot_s : float
        Time from an order to the first request served.
    spot_share : float or None
        Price of a spot endpoint as a share of the regular price.
    zone_prices : dict of str to float
        Price of a second of an endpoint by availability zone.
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
        """Keep the fields."""
        self.least = least
        self.most = most
        self.boot_s = boot_s
        self.spot_share = spot_share
        self.zone_prices = dict(zone_prices)


class Service(Record):
    """Endpoints of one kind behind the routes."""

    __slots__ = ('engine', 'health_path', 'max_conns', 'name', 'scaling')

    def __init__(
        self,
        *,
        name: str,
        health_path: str,
        max_conns: int | None,
        engine: Engine | None = None,
        scaling: Scaling | None = None,
    ) -> None:
        """Keep the fields."""
        self.name = name
        self.health_path = health_path
        self.max_conns = max_conns
        self.engine = engine
        self.scaling = scaling


class Customer(Record):
    """A customer with its keys; its priority precedes that of a route."""

    __slots__ = ('keys', 'name', 'priority')

    def __init__(
        self,
        *,
        name: str,
        keys: Sequence[str],
        priority: int | None = None,
    ) -> None:
        """Keep the fields."""
        self.name = name
        self.keys = tuple(keys)
        self.priority = priority


class CallerLimits(Record):
    """What a caller may send and how long it may take.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest headers and body.
    header_timeout_s, idle_timeout_s : float
        Time to send the headers, and time a connection may stay idle.
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
        """Keep the fields."""
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class DesiredState(Record):
    """One version of everything that operators declare.

    Attributes
    ----------
    customers : tuple of Customer or None
        None where the routes are open without keys.
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
        """Keep the fields."""
        self.version = version
        self.routes = tuple(routes)
        self.services = tuple(services)
        self.limits = limits
        self.customers = None if customers is None else tuple(customers)
