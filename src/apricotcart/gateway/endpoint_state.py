"""What a host knows of each endpoint's load, and what a request needs."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Final

from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.api import PromptPart
from apricotcart.gateway.hashing import draw

# Share of an engine's memory that is filled on purpose: outputs grow, and
# an engine without memory preempts running requests.
_MEMORY_SHARE: Final = 0.9
# Hosts that are taken to place alike before they hear of each other. Among
# more of them, each has few requests at a time and they differ.
_ALIKE_MAX: Final = 8
# How long an endpoint that failed is chosen last.
_PENALTY_S: Final = 2.0
_PENALTY_MAX_S: Final = 8.0
# A leaving endpoint serves copies until this long before it is gone, in
# seconds.
_LEAVING_S: Final = 1.0
# Prompt parts remembered for one endpoint.
_PARTS_KEPT: Final = 4000
# Levels of urgency that are told apart.
_LEVELS: Final = 2
# Share of the places and of the memory that each level leaves to the level
# above it. Hosts fill endpoints without asking each other, and an endpoint
# whose places are taken lets nobody begin, however urgent.
_LEFT_SHARE: Final = 0.15
_LEFT_MEMORY: Final = 0.04
# Work of a prompt and generated tokens up to which a request frees its place
# within half a second.
_BRIEF_READ: Final = 4000
_BRIEF_OUTPUT: Final = 100
# Length of a prompt whose tokens take twice as long to read as those of a
# short one, since each attends to all tokens before it.
_ATTENTION_TOKENS: Final = 60_000


class Need:
    """What one request needs of an endpoint.

    Parameters
    ----------
    service : str
        Service that may run it.
    prompt_tokens, output_tokens : int
        Size of the prompt, and the expected size of the answer.
    parts : sequence of PromptPart
        Parts of the prompt in order; others may share all but the last.
    is_tight : bool
        Whether no other stream of the service has a shorter pause target.
    level : int
        How many levels of requests are less urgent.
    """

    __slots__ = (
        'is_tight',
        'level',
        'output_tokens',
        'parts',
        'prompt_tokens',
        'service',
    )

    def __init__(
        self,
        *,
        service: str,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
        parts: Sequence[PromptPart] = (),
        is_tight: bool = False,
        level: int = 0,
    ) -> None:
        """Keep the fields."""
        self.service = service
        self.level = min(level, _LEVELS)
        self.is_tight = is_tight
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.parts = parts

    @property
    def tokens(self) -> int:
        """Memory that the request takes, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def shared_tokens(self) -> int:
        """Prompt tokens that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def own_tokens(self) -> int:
        """Prompt tokens that no other request shares."""
        return max(0, self.prompt_tokens - self.shared_tokens)

    @property
    def is_brief(self) -> bool:
        """Whether it frees its place soon."""
        if self.output_tokens > _BRIEF_OUTPUT:
            return False
        return self.read_work(self.own_tokens) <= _BRIEF_READ

    @property
    def place_share(self) -> float:
        """Share of the places that requests of this level may fill."""
        return 1 - (_LEVELS - self.level) * _LEFT_SHARE

    @property
    def memory_share(self) -> float:
        """Share of the memory that requests of this level may fill."""
        return _MEMORY_SHARE - (_LEVELS - self.level) * _LEFT_MEMORY

    def read_work(self, unread: int) -> int:
        """Give the work of reading tokens of this prompt.

        It is counted in tokens of a short prompt.
        """
        return int(unread * (1 + self.prompt_tokens / _ATTENTION_TOKENS))

    @property
    def shared_part(self) -> str:
        """Id of the last part that others may share, empty without one."""
        shared = self.parts[:-1]
        return shared[-1].part_id if shared else ''


class Placed:
    """A request that was given to an endpoint of this host.

    Parameters
    ----------
    need : Need
        What it needs.
    unread_tokens : int
        Work of reading its prompt, in tokens of a short one.
    cache_source : str
        Address of an endpoint that the shared parts are copied from, empty
        without one.
    """

    __slots__ = ('cache_source', 'has_begun', 'need', 'unread_tokens')

    def __init__(
        self,
        need: Need,
        unread_tokens: int,
        cache_source: str,
    ) -> None:
        """Keep the fields."""
        self.need = need
        self.unread_tokens = unread_tokens
        self.cache_source = cache_source
        self.has_begun = False


class SharedLoad:
    """Load that the other hosts put on one endpoint."""

    __slots__ = ('requests', 'tokens', 'unread_tokens')

    def __init__(
        self,
        requests: int = 0,
        tokens: int = 0,
        unread_tokens: int = 0,
    ) -> None:
        """Keep the figures."""
        self.requests = requests
        self.tokens = tokens
        self.unread_tokens = unread_tokens


class Grants:
    """Free places of one endpoint that this host may take in a period."""

    __slots__ = ('_period', '_taken')

    def __init__(self) -> None:
        """Start without places taken."""
        self._period = -1
        self._taken = 0

    def take(self, period: int) -> None:
        """Count a place as taken."""
        self._taken = self.taken(period) + 1
        self._period = period

    def taken(self, period: int) -> int:
        """Give the places taken in a period."""
        return self._taken if period == self._period else 0


class EndpointRow:
    """One endpoint and what this host knows of its load."""

    __slots__ = (
        '_failures',
        'grants',
        'instance',
        'is_listed',
        'listed_at',
        'order',
        'others',
        'parts',
        'penalty_until',
        'peers',
        'placed',
        'recent',
        'recent_tokens',
    )

    def __init__(
        self,
        instance: Instance,
        peers: int = 0,
        listed_at: float = 0,
    ) -> None:
        """Start without load beside a number of other hosts."""
        self.is_listed = True
        self.listed_at = listed_at
        # Order in which all hosts see the endpoints of a service.
        self.order = draw(instance.instance_id)
        self.instance = instance
        self.placed: dict[str, Placed] = {}
        self.others = SharedLoad()
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.penalty_until: float = 0
        # What this host placed since it last heard of the other hosts, which
        # have most likely placed as much each.
        self.recent = 0
        self.recent_tokens = 0
        self.peers = peers
        self.grants = Grants()
        self._failures = 0

    @property
    def requests(self) -> int:
        """Requests of all hosts, as last heard."""
        return len(self.placed) + self.others.requests

    @property
    def likely_requests(self) -> int:
        """Requests of all hosts, with those not heard of yet."""
        return self.requests + self.recent * min(self.peers, _ALIKE_MAX)

    @property
    def tokens(self) -> int:
        """Tokens in memory for the requests of all hosts."""
        own = sum(each.need.tokens for each in self.placed.values())
        return own + self.others.tokens

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens that wait to be read, of all hosts, as last heard."""
        return self.own_unread_tokens + self.others.unread_tokens

    @property
    def own_unread_tokens(self) -> int:
        """The same, of this host."""
        return sum(
            each.unread_tokens
            for each in self.placed.values()
            if not each.has_begun
        )

    @property
    def likely_unread_tokens(self) -> int:
        """The same, with those not heard of yet."""
        likely = self.recent_tokens * min(self.peers, _ALIKE_MAX)
        return self.unread_tokens + likely

    @property
    def takes_requests(self) -> bool:
        """Whether the endpoint is still listed and does not drain."""
        return self.is_listed and self.instance.is_ready

    @property
    def is_leaving(self) -> bool:
        """Whether it goes soon and can still serve copies."""
        leaves_s = self.instance.leaves_s
        return leaves_s is not None and leaves_s > _LEAVING_S

    @property
    def has_failed(self) -> bool:
        """Whether the last request here failed."""
        return self._failures > 0

    def keeps(self, part_id: str) -> bool:
        """Tell whether this host had a prompt part read here."""
        return part_id in self.parts

    def cache_source_of(self, request_id: str) -> str:
        """Give where a request's shared parts are copied from."""
        placed = self.placed.get(request_id)
        return placed.cache_source if placed else ''

    def unread_of(self, need: Need) -> int:
        """Give the work of reading what is not cached here of a prompt."""
        cached = 0
        for part in need.parts:
            if part.part_id not in self.parts:
                break
            cached += part.tokens
        return need.read_work(max(0, need.prompt_tokens - cached))

    def remember(self, parts: Iterable[PromptPart]) -> None:
        """Note that the endpoint has read the parts of a prompt."""
        for part in parts:
            self.parts[part.part_id] = part.tokens
            self.parts.move_to_end(part.part_id)
        while len(self.parts) > _PARTS_KEPT:
            self.parts.popitem(last=False)

    def on_failure(self, now: float) -> None:
        """Choose this endpoint last for a while."""
        self._failures += 1
        pause_s = min(_PENALTY_S * self._failures, _PENALTY_MAX_S)
        self.penalty_until = now + pause_s

    def on_success(self) -> None:
        """End the penalty."""
        self._failures = 0
        self.penalty_until = 0
