"""Orders requests that wait for room, and decides when to refuse them.

Answers the load of a burst that exceeds what the endpoints can begin: the
most urgent and, among equals, the longest waiting request goes first, and a
request that cannot begin in time is told at once when to come back.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from apricotcart.gateway.endpoint_state import EndpointRow, Need
from apricotcart.gateway.placement import Placement

# Share of the time to the target for which a request may wait before it is
# refused; waiting longer leaves no time to read the prompt.
_PATIENCE_SHARE: Final = 0.5
# Longest wait of requests that are refused on other grounds, in seconds.
_PATIENCE_MAX_S: Final = 2.0
# The same for the least urgent requests, whose answers keep most of their
# worth when they are late.
_LOW_PATIENCE_S: Final = 4.0
# Bounds of the time after which a refused request may come back.
_RETURN_MIN_S: Final = 0.2
_RETURN_MAX_S: Final = 3.0
# What each waiting request adds to it.
_RETURN_EACH_S: Final = 0.05

# Service, tight pauses, and whether places are freed soon.
_Group = tuple[str, bool, bool]


class Waiting:
    """One request that waits for an endpoint.

    Attributes
    ----------
    rank : tuple
        Order among the waiting requests, lowest first.
    refuse_at : float
        When it is refused if no endpoint had room, in seconds.
    excluded : set of str
        Endpoints that it must not be sent to.
    """

    __slots__ = ('excluded', 'need', 'rank', 'refuse_at', 'request_id')

    def __init__(
        self,
        *,
        request_id: str,
        need: Need,
        rank: tuple[int, float],
        refuse_at: float,
        excluded: set[str],
    ) -> None:
        """Keep the fields."""
        self.request_id = request_id
        self.need = need
        self.rank = rank
        self.refuse_at = refuse_at
        self.excluded = excluded


class Assigned:
    """A decision: the request goes to an endpoint."""

    __slots__ = ('request_id', 'row')

    def __init__(self, request_id: str, row: EndpointRow) -> None:
        """Keep the fields."""
        self.request_id = request_id
        self.row = row


class Refused:
    """A decision: the request is refused for now."""

    __slots__ = ('request_id', 'retry_after_s')

    def __init__(self, request_id: str, retry_after_s: float) -> None:
        """Keep the fields."""
        self.request_id = request_id
        self.retry_after_s = retry_after_s


Decision = Assigned | Refused


class WaitingRoom:
    """All requests of this host that wait.

    Parameters
    ----------
    placement : Placement
        Chooses endpoints.
    """

    __slots__ = ('_placement', '_waiting')

    def __init__(self, placement: Placement) -> None:
        """Start empty."""
        self._placement = placement
        self._waiting: dict[str, Waiting] = {}

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._waiting)

    def add(self, waiting: Waiting) -> None:
        """Let a request wait."""
        self._waiting[waiting.request_id] = waiting

    def remove(self, request_id: str) -> None:
        """Forget a request that no longer waits."""
        self._waiting.pop(request_id, None)

    def waiting_needs(self) -> list[Need]:
        """Give what the waiting requests need."""
        return [waiting.need for waiting in self._waiting.values()]

    def decide(self, now: float) -> Iterator[Decision]:
        """Give the decisions that can be made now, most urgent first."""
        queue = sorted(self._waiting.values(), key=lambda each: each.rank)
        blocked: set[_Group] = set()
        for waiting in queue:
            decision = self._decision(now, waiting, blocked)
            if decision is not None:
                self.remove(waiting.request_id)
                yield decision

    def _decision(
        self,
        now: float,
        waiting: Waiting,
        blocked: set[_Group],
    ) -> Decision | None:
        # Streams with tight pauses have engines of their own, and brief
        # requests do not wait for the room that a long one needs.
        need = waiting.need
        group = (need.service, need.is_tight, need.is_brief)
        row = None
        # A less urgent request does not overtake one that found no room.
        if group not in blocked:
            row = self._placement.choose(now, need, waiting.excluded)
        if row is not None:
            self._placement.place(waiting.request_id, row, need)
            return Assigned(waiting.request_id, row)
        if not waiting.excluded:
            blocked.add(group)
        if now >= waiting.refuse_at:
            return Refused(waiting.request_id, return_after_s(len(self)))
        return None


def patience_s(target_s: float, left_s: float, level: int = 1) -> float:
    """Give how long a request may wait for room, in seconds.

    Parameters
    ----------
    target_s : float
        Time to the first byte that is on time.
    left_s : float
        Time until the caller gives up.
    level : int
        How many levels of requests are less urgent.
    """
    if not level:
        return min(left_s / 3, _LOW_PATIENCE_S)
    return min(target_s * _PATIENCE_SHARE, left_s / 3, _PATIENCE_MAX_S)


def return_after_s(waiting: int) -> float:
    """Give when a refused request may come back, in seconds.

    The more requests wait, the later they return, so that those that wait
    already begin first.
    """
    return min(_RETURN_MIN_S + waiting * _RETURN_EACH_S, _RETURN_MAX_S)
