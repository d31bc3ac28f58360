"""Fair shares of customers in a capacity, by what they use and wait for."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from apricotcart.scheduling.maxmin import SlotDemand, max_min


class CustomerLoad:
    """Tokens of the running and of the queued requests of one customer.

    Attributes
    ----------
    running : list of int
        Tokens at each level of urgency, the least urgent first.
    queued : int
        Tokens at all levels.
    """

    __slots__ = ('queued', 'running')

    def __init__(self, running: Sequence[int], queued: int) -> None:
        self.running = list(running)
        self.queued = queued


class CustomerShares:
    """Max-min fair shares of a capacity in tokens.

    A customer that runs its share gives way while another one waits for its
    own. Without such a customer, any may use what is free. The less urgent
    requests of a customer do not count against its more urgent ones.

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
                SlotDemand(customer, sum(load.running) + load.queued, 1)
                for customer, load in loads.items()
            ],
        )
        self._unserved = {
            customer
            for customer, load in loads.items()
            if load.queued and sum(load.running) < self._shares[customer]
        }

    def use(self, customer: str, level: int) -> int:
        """Return the tokens that a customer runs at a level and above."""
        load = self._loads.get(customer)
        return sum(load.running[level:]) if load else 0

    def is_exceeded(self, customer: str, level: int) -> bool:
        """Return whether a request must leave free capacity to others."""
        if self.use(customer, level) < self._shares.get(customer, 1):
            return False
        return bool(self._unserved - {customer})

    def add_running(self, customer: str, level: int, tokens: int) -> None:
        """Count a request that has been placed."""
        load = self._loads.get(customer)
        if load:
            load.running[level] += tokens
            load.queued = max(0, load.queued - tokens)
