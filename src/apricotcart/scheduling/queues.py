"""Bounded queues of one pool, by tier, endpoint requirements and customer.

The entry hosts and the gateways queue their requests here. Both serve the
customer with the least virtual time first; what counts into it is theirs.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterator
from typing import Generic, Protocol, TypeVar

from apricotcart.scheduling.index import PriorityIndex

# Whether the request is late, and all that its choice of endpoints depends on.
LaneKey = tuple[bool, Hashable]


class Queued(Protocol):
    """A request that can be queued."""

    @property
    def request_id(self) -> str:
        """Identity of the request."""

    @property
    def customer(self) -> str:
        """Customer that is charged for it."""

    @property
    def tier(self) -> int:
        """Number of its tier; the lowest is served first."""

    @property
    def order(self) -> float:
        """Position among the requests of its customer, lowest first.

        Those with the same one are served in the order in which they are added.
        """

    @property
    def lane_key(self) -> LaneKey:
        """Key of the requests that suit the same endpoints.

        A request without a suitable free endpoint must not block those behind
        it that have one.
        """


QueuedT = TypeVar('QueuedT', bound=Queued)
_NumberedTier = tuple[int, 'TierQueue[QueuedT]']


class Lane(Generic[QueuedT]):
    """Requests of one tier with the same requirements, by customer.

    ``order`` ranks the customers with a backlog by their virtual time.
    """

    __slots__ = ('queues', 'order')

    def __init__(self) -> None:
        self.queues: dict[str, OrderedDict[str, QueuedT]] = {}
        self.order = PriorityIndex()

    def add(self, entry: QueuedT, virtual_time: float) -> None:
        """Append the entry to its customer's queue."""
        customer = entry.customer
        queue = self.queues.get(customer)
        if queue is None:
            queue = OrderedDict()
            self.queues[customer] = queue
            self.order.set_priority(customer, virtual_time)
        last = next(reversed(queue.values()), entry)
        queue[entry.request_id] = entry
        if last.order > entry.order:
            _sort(queue)

    def remove(self, entry: QueuedT) -> None:
        """Remove the entry."""
        customer = entry.customer
        queue = self.queues[customer]
        queue.pop(entry.request_id)
        if not queue:
            self.queues.pop(customer)
            self.order.discard(customer)

    def first(self) -> QueuedT | None:
        """Return the oldest request of the customer to serve next."""
        customer = self.order.first()
        if customer is None:
            return None
        return next(iter(self.queues[customer].values()))

    def virtual_time(self) -> float:
        """Return the virtual time of the customer to serve next."""
        entry = self.order.first_entry()
        return float('inf') if entry is None else entry[0]


class TierQueue(Generic[QueuedT]):
    """Requests of one tier, in lanes by their requirements."""

    __slots__ = ('lanes', 'customers', 'backlogs', 'size')

    def __init__(self) -> None:
        self.lanes: dict[LaneKey, Lane[QueuedT]] = {}
        self.customers: dict[str, OrderedDict[str, QueuedT]] = {}
        # The customer with the longest backlog per weight comes first.
        self.backlogs = PriorityIndex()
        self.size = 0

    def add(self, entry: QueuedT, virtual_time: float, weight: float) -> None:
        """Append the entry."""
        lane = self.lanes.setdefault(entry.lane_key, Lane())
        lane.add(entry, virtual_time)
        customer = entry.customer
        queue = self.customers.setdefault(customer, OrderedDict())
        queue[entry.request_id] = entry
        self.backlogs.set_priority(customer, -len(queue) / weight)
        self.size += 1

    def remove(self, entry: QueuedT, weight: float) -> None:
        """Remove the entry."""
        key = entry.lane_key
        lane = self.lanes[key]
        lane.remove(entry)
        if not lane.queues:
            self.lanes.pop(key)
        customer = entry.customer
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

    def lanes_in_order(self) -> list[Lane[QueuedT]]:
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

    def newest_of_longest_backlog(self) -> QueuedT | None:
        """Return the newest request of the customer with the longest backlog.

        The length of the backlog is relative to the customer's weight.
        """
        customer = self.backlogs.first()
        if customer is None:
            return None
        return next(reversed(self.customers[customer].values()))

    def _lane_rank(self, key: LaneKey) -> tuple[bool, float, float]:
        lane = self.lanes[key]
        entry = lane.first()
        return key[0], lane.virtual_time(), entry.order if entry else 0


class PoolQueue(Generic[QueuedT]):
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
        self.tiers: dict[int, TierQueue[QueuedT]] = {}
        self.size = 0
        self._weight_of = weight_of

    def add(self, entry: QueuedT, virtual_time: float) -> None:
        """Append the entry to its tier."""
        tier = self.tiers.get(entry.tier)
        if tier is None:
            tier = TierQueue()
            self.tiers[entry.tier] = tier
            self.tiers = dict(sorted(self.tiers.items()))
        tier.add(entry, virtual_time, self._weight_of(entry.customer))
        self.size += 1

    def remove(self, entry: QueuedT) -> None:
        """Remove the entry."""
        tier = self.tiers[entry.tier]
        tier.remove(entry, self._weight_of(entry.customer))
        self.size -= 1

    def size_of(self, tier: int) -> int:
        """Count the queued requests of a tier."""
        queue = self.tiers.get(tier)
        return 0 if queue is None else queue.size

    def has_backlog(self, tier: int, customer: str) -> bool:
        """Return whether the customer has queued requests in the tier."""
        queue = self.tiers.get(tier)
        return queue is not None and customer in queue.customers

    def backlogged(self) -> Iterator[_NumberedTier[QueuedT]]:
        """Yield the tiers with a backlog, highest tier first."""
        for number, tier in self.tiers.items():
            if tier.size:
                yield number, tier

    def next_to_shed(self) -> QueuedT | None:
        """Return the request to shed first, from the lowest tier."""
        for tier in reversed(self.tiers.values()):
            if tier.size:
                return tier.newest_of_longest_backlog()
        return None


def _sort(queue: OrderedDict[str, QueuedT]) -> None:
    for entry in sorted(queue.values(), key=lambda entry: entry.order):
        queue.move_to_end(entry.request_id)
