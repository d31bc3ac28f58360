"""Bounded queues of one pool: tiers, models and customers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from apricotcart.scheduling.index import PriorityIndex

if TYPE_CHECKING:
    from apricotcart.scheduling.entries import Entry

_Fifo = OrderedDict[str, 'Entry']
_LaneKey = tuple[bool, str, bool, bool, tuple[str, ...]]


def _lane_key(entry: Entry) -> _LaneKey:
    """Group requests that can use the same endpoints.

    A request that no free endpoint suits must not block those behind it.
    """
    req = entry.req
    return (
        entry.late,
        req.model,
        entry.cheap_allowed,
        entry.suspect,
        req.excluded_endpoints,
    )


class Lane:
    """Requests of one tier with the same needs, by customer.

    ``order`` ranks the customers with a backlog by their virtual time.
    """

    __slots__ = ('queues', 'order')

    def __init__(self) -> None:
        """Start empty."""
        self.queues: dict[str, _Fifo] = {}
        self.order = PriorityIndex()

    def add(self, entry: Entry, rank: float) -> None:
        """Append the entry to its customer's queue."""
        customer = entry.req.customer
        queue = self.queues.get(customer)
        if queue is None:
            queue = OrderedDict()
            self.queues[customer] = queue
            self.order.put(customer, rank)
        queue[entry.request_id] = entry

    def remove(self, entry: Entry) -> None:
        """Take the entry out."""
        customer = entry.req.customer
        queue = self.queues[customer]
        queue.pop(entry.request_id)
        if not queue:
            self.queues.pop(customer)
            self.order.discard(customer)

    def first(self) -> Entry | None:
        """Give the oldest request of the customer that is due."""
        customer = self.order.first()
        if customer is None:
            return None
        return next(iter(self.queues[customer].values()))

    def rank(self) -> float:
        """Give the virtual time of the customer that is due."""
        entry = self.order.first_entry()
        return float('inf') if entry is None else entry[0]


class TierQueue:
    """Requests of one tier, in lanes by their needs."""

    __slots__ = ('lanes', 'customers', 'backlog', 'size')

    def __init__(self) -> None:
        """Start empty."""
        self.lanes: dict[_LaneKey, Lane] = {}
        self.customers: dict[str, _Fifo] = {}
        # The customer with the longest backlog for its weight comes first.
        self.backlog = PriorityIndex()
        self.size = 0

    def add(self, entry: Entry, rank: float, weight: float) -> None:
        """Append the entry."""
        lane = self.lanes.setdefault(_lane_key(entry), Lane())
        lane.add(entry, rank)
        customer = entry.req.customer
        queue = self.customers.setdefault(customer, OrderedDict())
        queue[entry.request_id] = entry
        self.backlog.put(customer, -len(queue) / weight)
        self.size += 1

    def remove(self, entry: Entry, weight: float) -> None:
        """Take the entry out."""
        key = _lane_key(entry)
        lane = self.lanes[key]
        lane.remove(entry)
        if not lane.queues:
            self.lanes.pop(key)
        customer = entry.req.customer
        queue = self.customers[customer]
        queue.pop(entry.request_id)
        self.size -= 1
        if queue:
            self.backlog.put(customer, -len(queue) / weight)
        else:
            self.customers.pop(customer)
            self.backlog.discard(customer)

    def rerank(self, customer: str, rank: float) -> None:
        """Apply a changed virtual time."""
        for lane in self.lanes.values():
            if customer in lane.queues:
                lane.order.put(customer, rank)

    def lanes_in_order(self) -> list[Lane]:
        """Give the lanes in the order of dispatch.

        Requests that already miss their first-token target come after those
        that can still meet it; then by the customer that is due.
        """
        if len(self.lanes) < 2:
            return list(self.lanes.values())
        return [self.lanes[key] for key in sorted(self.lanes, key=self._rank)]

    def newest(self) -> Entry | None:
        """Give the newest request of the customer most over its share."""
        customer = self.backlog.first()
        if customer is None:
            return None
        return next(reversed(self.customers[customer].values()))

    def _rank(self, key: _LaneKey) -> tuple[bool, float]:
        return key[0], self.lanes[key].rank()


class PoolQueue:
    """All queued requests of one pool.

    Parameters
    ----------
    max_queue : int
        Most requests that wait at the same time.
    weight_of : callable
        Gives the weight of a customer.
    """

    __slots__ = ('max_queue', 'tiers', 'size', '_weight_of')

    def __init__(
        self, max_queue: int, weight_of: Callable[[str], float]
    ) -> None:
        """Start empty."""
        self.max_queue = max_queue
        self.tiers: dict[int, TierQueue] = {}
        self.size = 0
        self._weight_of = weight_of

    def add(self, entry: Entry, rank: float) -> None:
        """Append the entry to its tier."""
        tier = self.tiers.get(entry.tier)
        if tier is None:
            tier = TierQueue()
            self.tiers[entry.tier] = tier
            self.tiers = dict(sorted(self.tiers.items()))
        tier.add(entry, rank, self._weight_of(entry.req.customer))
        self.size += 1

    def remove(self, entry: Entry) -> None:
        """Take the entry out."""
        tier = self.tiers[entry.tier]
        tier.remove(entry, self._weight_of(entry.req.customer))
        self.size -= 1

    def size_of(self, tier: int) -> int:
        """Count the queued requests of a tier."""
        queue = self.tiers.get(tier)
        return 0 if queue is None else queue.size

    def has_backlog(self, tier: int, customer: str) -> bool:
        """Tell whether the customer has queued requests in the tier."""
        queue = self.tiers.get(tier)
        return queue is not None and customer in queue.customers

    def backlogged(self) -> Iterator[tuple[int, TierQueue]]:
        """Give the tiers with a backlog from the highest down."""
        for number, tier in self.tiers.items():
            if tier.size:
                yield number, tier

    def victim(self) -> Entry | None:
        """Give the request to shed first: of the lowest tier, the newest."""
        for tier in reversed(self.tiers.values()):
            if tier.size:
                return tier.newest()
        return None
