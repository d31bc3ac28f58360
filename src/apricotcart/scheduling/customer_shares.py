"""Fair shares of customers in a capacity, by what they use and wait for."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Final

from apricotcart.scheduling.maxmin import SlotDemand, max_min

# Queued tokens for each running one below which nothing is scarce: a short
# queue is served before a gateway hears of it from the others.
_SCARCE_RATIO: Final = 0.1
# Level of a customer that waits for nothing.
_NO_LEVEL: Final = -1


class CustomerLoad:
    """Tokens of the running and of the queued requests of one customer.

    Attributes
    ----------
    running : list of int
        Tokens at each level of urgency, the least urgent first.
    queued : list of int
        Tokens at each level, likewise.
    """

    __slots__ = ('queued', 'running')

    def __init__(self, running: Sequence[int], queued: Sequence[int]) -> None:
        self.running = list(running)
        self.queued = list(queued)


class CustomerShares:
    """Max-min fair shares of a capacity in tokens.

    A customer that runs its share gives way while another one waits for its
    own with requests that are as urgent. Without such a customer, or while
    little waits, any may use what is free. The less urgent requests of a
    customer do not count against its more urgent ones.

    Parameters
    ----------
    loads : mapping of str to CustomerLoad
        Load of each customer over all hosts.
    capacity : int
        Tokens that can run at a time.
    """

    __slots__ = ('_loads', '_shares', '_unserved')

    def __init__(
        self, loads: Mapping[str, CustomerLoad], capacity: int
    ) -> None:
        self._loads = loads
        self._shares = max_min(
            capacity,
            [
                SlotDemand(customer, sum(load.running) + sum(load.queued), 1)
                for customer, load in loads.items()
            ],
        )
        self._unserved: dict[str, int] = {}
        if _is_scarce(loads):
            self._unserved = {
                customer: _highest_level(load.queued)
                for customer, load in loads.items()
                if sum(load.running) < self._shares[customer]
            }

    def use(self, customer: str, level: int) -> int:
        """Return the tokens that a customer runs at a level and above."""
        load = self._loads.get(customer)
        return sum(load.running[level:]) if load else 0

    def is_exceeded(self, customer: str, level: int) -> bool:
        """Return whether a request must leave free capacity to others."""
        if self.use(customer, level) < self._shares.get(customer, 1):
            return False
        return any(
            waiting_level >= level
            for name, waiting_level in self._unserved.items()
            if name != customer
        )

    def add_running(self, customer: str, level: int, tokens: int) -> None:
        """Count a request that has been placed."""
        load = self._loads.get(customer)
        if load:
            load.running[level] += tokens
            load.queued[level] = max(0, load.queued[level] - tokens)


def _is_scarce(loads: Mapping[str, CustomerLoad]) -> bool:
    running = sum(sum(load.running) for load in loads.values())
    queued = sum(sum(load.queued) for load in loads.values())
    return queued > running * _SCARCE_RATIO


def _highest_level(queued: Sequence[int]) -> int:
    """Return the most urgent level at which requests wait."""
    levels = [level for level, tokens in enumerate(queued) if tokens > 0]
    return max(levels, default=_NO_LEVEL)
