"""Urgency of requests by the priorities of customer and route."""

from __future__ import annotations

from collections.abc import Iterable

from apricotcart.codec.record import Record
from apricotcart.desired.records import Customer, DesiredState, Route

_Rank = tuple[int, int]


class Urgency(Record):
    """Urgency of a request relative to others of its service.

    Attributes
    ----------
    levels_above : int
        Number of more urgent levels.
    level : int
        Number of less urgent levels.
    is_latency_critical : bool
        Whether its stream has the lowest inter-token latency target of the
        service, where targets differ.
    """

    __slots__ = ('is_latency_critical', 'level', 'levels_above')

    def __init__(
        self, *, levels_above: int, level: int, is_latency_critical: bool
    ) -> None:
        self.levels_above = levels_above
        self.level = level
        self.is_latency_critical = is_latency_critical


class UrgencyTable:
    """Priorities of the requests of each service in one desired state.

    Requests are ordered by the priority of the customer and, if equal, by
    that of the route. Engines serve requests in this order, and short
    requests would otherwise wait behind long ones of the same customer.
    """

    __slots__ = ('_latency_targets', '_ranks')

    def __init__(self, state: DesiredState) -> None:
        ranks: dict[str, set[_Rank]] = {}
        self._latency_targets: dict[str, set[float]] = {}
        # Few, while there may be thousands of customers and of routes.
        priorities = _customer_priorities(state)
        for route in state.routes:
            for split in route.splits:
                service_ranks = ranks.setdefault(split.service, set())
                service_ranks.update(_ranks_of(route, priorities))
                if route.pause_s is not None:
                    targets = self._latency_targets.setdefault(
                        split.service, set()
                    )
                    targets.add(route.pause_s)
        self._ranks = {
            name: sorted(service_ranks) for name, service_ranks in ranks.items()
        }

    def urgency(
        self,
        route: Route,
        customer: Customer | None,
        service: str,
    ) -> Urgency:
        """Return the urgency of a request."""
        ranks = self._ranks.get(service, [])
        own = _rank_of(route, customer.priority if customer else None)
        return Urgency(
            levels_above=sum(rank < own for rank in ranks),
            level=sum(rank > own for rank in ranks),
            is_latency_critical=self._has_lowest_pause_target(route, service),
        )

    def _has_lowest_pause_target(self, route: Route, service: str) -> bool:
        targets = self._latency_targets.get(service, set())
        if route.pause_s is None or len(targets) < 2:
            return False
        return route.pause_s == min(targets)


def _rank_of(route: Route, customer_priority: int | None) -> _Rank:
    if customer_priority is None:
        return (route.priority, route.priority)
    return (customer_priority, route.priority)


def _ranks_of(route: Route, priorities: Iterable[int | None]) -> set[_Rank]:
    if route.is_public:
        return {_rank_of(route, None)}
    return {_rank_of(route, priority) for priority in priorities}


def _customer_priorities(state: DesiredState) -> set[int | None]:
    if state.customers is None:
        return {None}
    return {customer.priority for customer in state.customers}
