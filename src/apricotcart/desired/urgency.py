"""Ranks requests by their customers and routes."""

from __future__ import annotations

from collections.abc import Iterable

from apricotcart.codec.record import Record
from apricotcart.desired.records import Customer, DesiredState, Route

_Rank = tuple[int, int]


class Urgency(Record):
    """How a request stands among the others of its service.

    Attributes
    ----------
    place : int
        How many levels of requests are more urgent.
    level : int
        How many levels of requests are less urgent.
    is_tight : bool
        Whether no other stream has a shorter pause target.
    """

    __slots__ = ('is_tight', 'level', 'place')

    def __init__(self, *, place: int, level: int, is_tight: bool) -> None:
        """Keep the fields."""
        self.place = place
        self.level = level
        self.is_tight = is_tight


class UrgencyTable:
    """Ranks of the requests of each service in one desired state.

    A request ranks by its customer's priority and, among equal customers,
    by its route's: engines serve by the rank, and short requests would
    otherwise wait behind long ones of the same customer.
    """

    __slots__ = ('_pauses', '_ranks')

    def __init__(self, state: DesiredState) -> None:
        """Collect the ranks and the targets of the pauses."""
        ranks: dict[str, set[_Rank]] = {}
        self._pauses: dict[str, set[float]] = {}
        customers = state.customers
        for route in state.routes:
            for split in route.splits:
                found = ranks.setdefault(split.service, set())
                found.update(_ranks_of(route, customers))
                if route.pause_s is not None:
                    pauses = self._pauses.setdefault(split.service, set())
                    pauses.add(route.pause_s)
        self._ranks = {name: sorted(found) for name, found in ranks.items()}

    def urgency(
        self,
        route: Route,
        customer: Customer | None,
        service: str,
    ) -> Urgency:
        """Give the urgency of a request."""
        ranks = self._ranks.get(service, [])
        own = _rank_of(route, customer)
        return Urgency(
            place=sum(rank < own for rank in ranks),
            level=sum(rank > own for rank in ranks),
            is_tight=self._is_tight(route, service),
        )

    def _is_tight(self, route: Route, service: str) -> bool:
        pauses = self._pauses.get(service, set())
        if route.pause_s is None or len(pauses) < 2:
            return False
        return route.pause_s == min(pauses)


def _rank_of(route: Route, customer: Customer | None) -> _Rank:
    if customer is None or customer.priority is None:
        return (route.priority, route.priority)
    return (customer.priority, route.priority)


def _ranks_of(
    route: Route,
    customers: Iterable[Customer] | None,
) -> set[_Rank]:
    if route.is_public or customers is None:
        return {_rank_of(route, None)}
    return {_rank_of(route, customer) for customer in customers}
