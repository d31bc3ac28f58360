"""Bounded queues of one pool, by tier, endpoint requirements and customer."""

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
    """Return the key of the lane for requests that suit the same endpoints.

    A request without a suitable free endpoint must not block those behind it
    that have one.
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
    """Requests of one tier with the same requirements, by customer.

    ``order`` ranks the customers with a backlog by their virtual time.
    """

    __slots__ = ('queues', 'order')

    def __init__(self) -> None:
        self.queues: dict[str, _Fifo] = {}
        self.order = PriorityIndex()

    def add(self, entry: Entry, virtual_time: float) -> None:
        """Append the entry to its customer's queue."""
        customer = entry.req.customer
        queue = self.queues.get(customer)
        if queue is None:
            queue = OrderedDict()
            self.queues[customer] = queue
            self.order.set_priority(customer, virtual_time)
        queue[entry.request_id] = entry

    def remove(self, entry: Entry) -> None:
        """Remove the entry."""
        customer = entry.req.customer
        queue = self.queues[customer]
        queue.pop(entry.request_id)
        if not queue:
            self.queues.pop(customer)
            self.order.discard(customer)

    def first(self) -> Entry | None:
        """Return the oldest request of the customer to serve next."""
        customer = self.order.first()
        if customer is None:
            return None
        return next(iter(self.queues[customer].values()))

    def virtual_time(self) -> float:
        """Return the virtual time of the customer to serve next."""
        entry = self.order.first_entry()
        return float('inf') if entry is None else entry[0]


class TierQueue:
    """Requests of one tier, in lanes by their requirements."""

    __slots__ = ('lanes', 'customers', 'backlogs', 'size')

    def __init__(self) -> None:
        self.lanes: dict[_LaneKey, Lane] = {}
        self.customers: dict[str, _Fifo] = {}
        # The customer with the longest backlog per weight comes first.
        self.backlogs = PriorityIndex()
        self.size = 0

    def add(self, entry: Entry, virtual_time: float, weight: float) -> None:
        """Append the entry."""
        lane = self.lanes.setdefault(_lane_key(entry), Lane())
        lane.add(entry, virtual_time)
        customer = entry.req.customer
        queue = self.customers.setdefault(customer, OrderedDict())
        queue[entry.request_id] = entry
        self.backlogs.set_priority(customer, -len(queue) / weight)
        self.size += 1

    def remove(self, entry: Entry, weight: float) -> None:
        """Remove the entry."""
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
            self.backlogs.set_priority(customer, -len(queue) / weight)
        else:
            self.customers.pop(customer)
            self.backlogs.discard(customer)

    def update_virtual_time(self, customer: str, virtual_time: float) -> None:
        """Update the customer's position after its virtual time changed."""
        for lane in self.lanes.values():
            if customer in lane.queues:
                lane.order.set_priority(customer, virtual_time)

    def lanes_in_order(self) -> list[Lane]:
        """Return the lanes in the order of dispatch.

        Requests that already miss their first-token target come after those
        that can still meet it. Within both groups, lanes are in order of the
        least virtual time among their customers.
        """
        if len(self.lanes) < 2:
            return list(self.lanes.values())
        return [
            self.lanes[key] for key in sorted(self.lanes, key=self._lane_rank)
        ]

    def newest_of_longest_backlog(self) -> Entry | None:
        """Return the newest request of the customer with the longest backlog.

        The length of the backlog is relative to the customer's weight.
        """
        customer = self.backlogs.first()
        if customer is None:
            return None
        return next(reversed(self.customers[customer].values()))

    def _lane_rank(self, key: _LaneKey) -> tuple[bool, float]:
        return key[0], self.lanes[key].virtual_time()


class PoolQueue:
    """All queued requests of one pool.

    Parameters
    ----------
    max_queue : int
        Maximum number of queued requests.
    weight_of : callable
        Returns the weight of a customer.
    """

    __slots__ = ('max_queue', 'tiers', 'size', '_weight_of')

    def __init__(
        self, max_queue: int, weight_of: Callable[[str], float]
    ) -> None:
        self.max_queue = max_queue
        self.tiers: dict[int, TierQueue] = {}
        self.size = 0
        self._weight_of = weight_of

    def add(self, entry: Entry, virtual_time: float) -> None:
        """Append the entry to its tier."""
        tier = self.tiers.get(entry.tier)
        if tier is None:
            tier = TierQueue()
            self.tiers[entry.tier] = tier
            self.tiers = dict(sorted(self.tiers.items()))
        tier.add(entry, virtual_time, self._weight_of(entry.req.customer))
        self.size += 1

    def remove(self, entry: Entry) -> None:
        """Remove the entry."""
        tier = self.tiers[entry.tier]
        tier.remove(entry, self._weight_of(entry.req.customer))
        self.size -= 1

    def size_of(self, tier: int) -> int:
        """Count the queued requests of a tier."""
        queue = self.tiers.get(tier)
        return 0 if queue is None else queue.size

    def has_backlog(self, tier: int, customer: str) -> bool:
        """Return whether the customer has queued requests in the tier."""
        queue = self.tiers.get(tier)
        return queue is not None and customer in queue.customers

    def backlogged(self) -> Iterator[tuple[int, TierQueue]]:
        """Yield the tiers with a backlog, highest tier first."""
        for number, tier in self.tiers.items():
            if tier.size:
                yield number, tier

    def next_to_shed(self) -> Entry | None:
        """Return the request to shed first, from the lowest tier."""
        for tier in reversed(self.tiers.values()):
            if tier.size:
                return tier.newest_of_longest_backlog()
        return None
