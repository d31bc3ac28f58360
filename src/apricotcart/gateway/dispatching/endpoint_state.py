"""Load of endpoints as seen by one host, and requirements of requests."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Final

from apricotcart.endpoints.instances import Instance
from apricotcart.endpoints.recent_outcomes import RecentOutcomes
from apricotcart.gateway.api import PromptPart
from apricotcart.gateway.dispatching.endpoint_notices import EndpointNotices
from apricotcart.gateway.dispatching.hashing import hash_to_unit
from apricotcart.gateway.dispatching.recent_rejections import RecentRejections

# Ratio of an engine's KV memory that may be filled. Outputs can become longer
# than expected, and an engine that runs out of memory preempts requests.
_KV_FILL_RATIO: Final = 0.9
# Maximum number of other hosts that are assumed to place the same load as this
# one until they report it. With more hosts, each has few requests at a time and
# their loads differ.
_MAX_EXTRAPOLATED_HOSTS: Final = 8
# How long an endpoint is chosen last: the time for each of its failures in a
# row, and the maximum.
_PENALTY_S: Final = 2.0
_PENALTY_MAX_S: Final = 8.0
# Time in which several failures count as one: requests that were on their way
# fail together when an endpoint falls silent for a second.
_SAME_FAILURE_S: Final = 1.5
# A draining endpoint is a source for KV copies until this long before its end.
_COPY_SOURCE_MIN_S: Final = 1.0
# Maximum number of prompt parts that are recorded for one endpoint.
_MAX_CACHED_PARTS: Final = 4000
# Highest urgency level that is distinguished.
_MAX_LEVEL: Final = 2
# Ratio of the slots and of the memory that each level reserves for the level
# above it. Hosts place requests without coordination, and an endpoint without a
# free slot cannot start a request however urgent it is.
_SLOT_RESERVE_RATIO: Final = 0.15
_KV_RESERVE_RATIO: Final = 0.04
# Prefill work and generated tokens up to which a request frees its slot within
# half a second.
_SHORT_PREFILL_TOKENS: Final = 4000
_SHORT_OUTPUT_TOKENS: Final = 100
# Prompt length at which prefilling a token takes twice as long as in a short
# prompt, since each token attends to all tokens before it.
_ATTENTION_TOKENS: Final = 60_000


class Requirements:
    """What one request requires of an endpoint.

    Parameters
    ----------
    service : str
        Service that may run it.
    prompt_tokens, output_tokens : int
        Size of the prompt, and the expected size of the output.
    parts : sequence of PromptPart
        Parts of the prompt in order; all but the last may be shared.
    is_latency_critical : bool
        Whether the request has the lowest inter-token latency target of
        the service.
    level : int
        Number of less urgent levels.
    is_resumable : bool
        Whether its caller may resume the response at another endpoint.
    software_version : str or None
        The only version that may run it; None for any.
    customer : str
        Customer that asks for it; empty on public routes.
    target_s : float
        Target time to first byte in seconds, from the arrival of the request.
    """

    __slots__ = (
        'customer',
        'is_latency_critical',
        'is_resumable',
        'level',
        'output_tokens',
        'parts',
        'prompt_tokens',
        'service',
        'software_version',
        'target_s',
    )

    def __init__(
        self,
        *,
        service: str,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
        parts: Sequence[PromptPart] = (),
        is_latency_critical: bool = False,
        level: int = 0,
        is_resumable: bool = False,
        software_version: str | None = None,
        customer: str = '',
        target_s: float = math.inf,
    ) -> None:
        self.customer = customer
        self.target_s = target_s
        self.service = service
        self.level = min(level, _MAX_LEVEL)
        self.is_latency_critical = is_latency_critical
        self.is_resumable = is_resumable
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.parts = parts
        self.software_version = software_version

    @property
    def tokens(self) -> int:
        """KV memory that the request uses, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def shared_prefix_tokens(self) -> int:
        """Prompt tokens in the prefix that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def unshared_tokens(self) -> int:
        """Prompt tokens after the shared prefix."""
        return max(0, self.prompt_tokens - self.shared_prefix_tokens)

    @property
    def is_short(self) -> bool:
        """Whether the request frees its slot soon."""
        if self.output_tokens > _SHORT_OUTPUT_TOKENS:
            return False
        return self.prefill_work(self.unshared_tokens) <= _SHORT_PREFILL_TOKENS

    @property
    def slot_ratio(self) -> float:
        """Ratio of the slots that requests of this level may fill."""
        return 1 - (_MAX_LEVEL - self.level) * _SLOT_RESERVE_RATIO

    @property
    def kv_ratio(self) -> float:
        """Ratio of the KV memory that requests of this level may fill."""
        return _KV_FILL_RATIO - (_MAX_LEVEL - self.level) * _KV_RESERVE_RATIO

    def allows(self, instance: Instance) -> bool:
        """Return whether the service and version of an endpoint fit."""
        return instance.service == self.service and (
            self.software_version in {None, instance.software_version}
        )

    def prefill_work(self, uncached_tokens: int) -> int:
        """Return the work of prefilling tokens of this prompt.

        The unit is the work of one token of a short prompt.
        """
        return int(
            uncached_tokens * (1 + self.prompt_tokens / _ATTENTION_TOKENS)
        )

    @property
    def shared_prefix_id(self) -> str:
        """Id of the last shared part; empty without a shared prefix."""
        shared = self.parts[:-1]
        return shared[-1].part_id if shared else ''


class PlacedRequest:
    """A request that this host placed on an endpoint.

    Parameters
    ----------
    requirements : Requirements
        What the request requires.
    prefill_tokens : int
        Work of prefilling its prompt, in tokens of a short prompt.
    cache_source : str
        Address of the endpoint that the shared prefix is copied from; empty
        if it is not copied.
    """

    __slots__ = (
        'cache_source',
        'is_prefilled',
        'requirements',
        'prefill_tokens',
    )

    def __init__(
        self,
        requirements: Requirements,
        prefill_tokens: int,
        cache_source: str,
    ) -> None:
        self.requirements = requirements
        self.prefill_tokens = prefill_tokens
        self.cache_source = cache_source
        self.is_prefilled = False


class LoadSummary:
    """Total of requests, KV tokens and queued prefill tokens."""

    __slots__ = ('requests', 'tokens', 'prefill_tokens')

    def __init__(
        self,
        requests: int = 0,
        tokens: int = 0,
        prefill_tokens: int = 0,
    ) -> None:
        self.requests = requests
        self.tokens = tokens
        self.prefill_tokens = prefill_tokens


class PeriodCount:
    """Counts what this host uses of an endpoint in the current period."""

    __slots__ = ('_period', '_count')

    def __init__(self) -> None:
        self._period = -1
        self._count = 0

    def increment(self, period: int) -> None:
        """Count one more use."""
        self._count = self.count(period) + 1
        self._period = period

    def count(self, period: int) -> int:
        """Return the number of uses in a period."""
        return self._count if period == self._period else 0


class Listing:
    """What the list of endpoints says about one of them.

    Attributes
    ----------
    first_at, updated_at : float
        When a list with it was first and last applied, in seconds.
    is_current : bool
        Whether the last list has it.
    is_evacuated : bool
        Whether its availability zone is evacuated.
    """

    __slots__ = ('first_at', 'is_current', 'is_evacuated', 'updated_at')

    def __init__(self, first_at: float) -> None:
        self.first_at = first_at
        self.updated_at = first_at
        self.is_current = True
        self.is_evacuated = False


class EndpointState:
    """One endpoint and its load as seen by this host."""

    __slots__ = (
        '_failed_at',
        '_failures',
        'slot_grants',
        'instance',
        'listing',
        'notices',
        'outcomes',
        'rate_grants',
        'rejections',
        'hash_order',
        'remote_load',
        'used_cold_slot',
        'cached_parts',
        'penalty_until',
        'peer_hosts',
        'local_requests',
        'unreported_requests',
        'unreported_prefill_tokens',
    )

    def __init__(
        self,
        instance: Instance,
        peer_hosts: int = 0,
        listed_at: float = 0,
    ) -> None:
        self.listing = Listing(listed_at)
        # Sort key that gives all hosts the same order of endpoints.
        self.hash_order = hash_to_unit(instance.instance_id)
        self.instance = instance
        self.notices = EndpointNotices()
        self.rejections = RecentRejections()
        self.local_requests: dict[str, PlacedRequest] = {}
        self.remote_load = LoadSummary()
        self.outcomes = RecentOutcomes()
        self.cached_parts: OrderedDict[str, int] = OrderedDict()
        self.penalty_until: float = 0
        # Requests placed by this host since the last report of the other
        # hosts, each of which has most likely placed as many.
        self.unreported_requests = 0
        self.unreported_prefill_tokens = 0
        self.peer_hosts = peer_hosts
        self.slot_grants = PeriodCount()
        # Requests of this host in the period of a limit.
        self.rate_grants = PeriodCount()
        # Last time slot that this host has used while the endpoint was cold.
        self.used_cold_slot: int | None = None
        self._failures = 0
        self._failed_at: float = 0

    @property
    def requests(self) -> int:
        """Requests of all hosts, as last reported."""
        return len(self.local_requests) + self.remote_load.requests

    @property
    def estimated_requests(self) -> int:
        """Requests of all hosts, including an estimate of unreported ones."""
        return self.requests + self.unreported_requests * min(
            self.peer_hosts, _MAX_EXTRAPOLATED_HOSTS
        )

    @property
    def tokens(self) -> int:
        """KV memory used by the requests of all hosts, in tokens."""
        local_tokens = sum(
            placed.requirements.tokens
            for placed in self.local_requests.values()
        )
        return local_tokens + self.remote_load.tokens

    @property
    def prefill_tokens(self) -> int:
        """Queued prefill tokens of all hosts, as last reported."""
        return self.local_prefill_tokens + self.remote_load.prefill_tokens

    @property
    def local_prefill_tokens(self) -> int:
        """Queued prefill tokens of this host."""
        return sum(
            placed.prefill_tokens
            for placed in self.local_requests.values()
            if not placed.is_prefilled
        )

    @property
    def estimated_prefill_tokens(self) -> int:
        """Queued prefill tokens, including an estimate of unreported ones."""
        estimate = self.unreported_prefill_tokens * min(
            self.peer_hosts, _MAX_EXTRAPOLATED_HOSTS
        )
        return self.prefill_tokens + estimate

    @property
    def accepts_requests(self) -> bool:
        """Whether requests may be sent to it.

        It is listed, its zone is not evacuated, and neither the list nor itself
        says that it leaves.
        """
        is_draining = not self.instance.is_ready or self.notices.is_leaving
        return self.listing.is_current and not (
            is_draining or self.listing.is_evacuated
        )

    @property
    def is_copy_source(self) -> bool:
        """Whether it is draining and can still be the source of a copy."""
        leaves_s = self.instance.leaves_s
        return leaves_s is not None and leaves_s > _COPY_SOURCE_MIN_S

    @property
    def has_failed(self) -> bool:
        """Whether the last request to the endpoint failed."""
        return self._failures > 0

    def has_cached(self, part_id: str) -> bool:
        """Return whether a request of this host put the part in the cache."""
        return part_id in self.cached_parts

    def cache_source_of(self, request_id: str) -> str:
        """Return the address that a request's prefix is copied from."""
        placed = self.local_requests.get(request_id)
        return placed.cache_source if placed else ''

    def uncached_prefill_work(self, requirements: Requirements) -> int:
        """Return the work of prefilling the uncached tokens of a prompt."""
        cached = 0
        for part in requirements.parts:
            if part.part_id not in self.cached_parts:
                break
            cached += part.tokens
        return requirements.prefill_work(
            max(0, requirements.prompt_tokens - cached)
        )

    def record_prefill(self, parts: Iterable[PromptPart]) -> None:
        """Record the parts of a prompt as cached at the endpoint."""
        for part in parts:
            self.cached_parts[part.part_id] = part.tokens
            self.cached_parts.move_to_end(part.part_id)
        while len(self.cached_parts) > _MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)

    def on_failure(self, now: float) -> None:
        """Penalize the endpoint, so that it is chosen last for a while."""
        if not self._failures or now >= self._failed_at + _SAME_FAILURE_S:
            self._failures += 1
            self._failed_at = now
        penalty_s = min(_PENALTY_S * self._failures, _PENALTY_MAX_S)
        self.penalty_until = now + penalty_s

    def on_success(self) -> None:
        """End the penalty."""
        self._failures = 0
        self.penalty_until = 0
