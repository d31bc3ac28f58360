"""Input records of the scheduler: classes, customers and requests."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Self

from apricotcart.codec.record import Record


class ServiceClass(Record):
    """A service class as configured.

    Parameters
    ----------
    name : str
        Name of the class.
    tier : int
        Priority tier, from 0 (highest) to 5 (lowest).
    first_token_s, between_tokens_s, total_s : float
        Latency targets in seconds: time to first token, inter-token latency
        and total duration.
    max_wait_s : float
        Queue timeout in seconds.
    min_share : float
        Smallest share of dispatches while the class has a backlog, 0 to 0.5.
    """

    __slots__ = (
        'name',
        'tier',
        'first_token_s',
        'between_tokens_s',
        'total_s',
        'max_wait_s',
        'min_share',
    )

    def __init__(
        self,
        *,
        name: str,
        tier: int,
        first_token_s: float = 1.0,
        between_tokens_s: float = 0.1,
        total_s: float = 60.0,
        max_wait_s: float = 30.0,
        min_share: float = 0,
    ) -> None:
        self.name = name
        self.tier = tier
        self.first_token_s = first_token_s
        self.between_tokens_s = between_tokens_s
        self.total_s = total_s
        self.max_wait_s = max_wait_s
        self.min_share = min_share

    @classmethod
    def from_spec(cls, name: str, spec: Mapping[str, Any]) -> Self:
        """Build the record from the spec of a ``class`` resource."""
        known = {field: spec[field] for field in cls.__slots__ if field in spec}
        return cls(**{**known, 'name': name})


class Customer(Record):
    """A customer and its weight in fair queueing."""

    __slots__ = ('name', 'weight')

    def __init__(self, *, name: str, weight: float = 1.0) -> None:
        self.name = name
        self.weight = weight


class QueuedRequest(Record):
    """A request as the scheduler sees it.

    Parameters
    ----------
    request_id : str
        Unique among the requests of this host.
    customer, class_name, pool, model : str
        Names; ``model`` is empty for a plain service.
    prompt_tokens, max_tokens : int
        Length of the prompt and upper bound of the output, in tokens.
    prefix_hash : str
        Hash of the prompt's prefix, empty if none.
    resumable : bool
        Whether a stream that breaks can move to another endpoint.
    excluded_endpoints : sequence of str
        Endpoints on which earlier attempts failed. They are used again only
        if no other endpoint of the pool can serve the request.
    deadline_at : float
        Total deadline in monotonic seconds; 0 means the time of submission
        plus the total target of the class.
    fingerprint : str
        Hash of the request's content, equal for a resend of the same
        content; defaults to ``request_id``.
    """

    __slots__ = (
        'request_id',
        'customer',
        'class_name',
        'pool',
        'model',
        'prompt_tokens',
        'max_tokens',
        'prefix_hash',
        'resumable',
        'excluded_endpoints',
        'deadline_at',
        'fingerprint',
    )

    def __init__(
        self,
        *,
        request_id: str,
        customer: str,
        class_name: str,
        pool: str,
        model: str = '',
        prompt_tokens: int = 0,
        max_tokens: int = 0,
        prefix_hash: str = '',
        resumable: bool = False,
        excluded_endpoints: Sequence[str] = (),
        deadline_at: float = 0,
        fingerprint: str = '',
    ) -> None:
        self.request_id = request_id
        self.customer = customer
        self.class_name = class_name
        self.pool = pool
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.prefix_hash = prefix_hash
        self.resumable = resumable
        self.excluded_endpoints = tuple(excluded_endpoints)
        self.deadline_at = deadline_at
        self.fingerprint = fingerprint or request_id
