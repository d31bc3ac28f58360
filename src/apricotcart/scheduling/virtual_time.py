"""Virtual time of customers: tokens per weight, by pool and tier."""

from __future__ import annotations


class VirtualTimes:
    """Virtual time of each customer: its tokens divided by its weight.

    The customer with the least virtual time is served first. A customer
    that was idle resumes at the virtual time of the queue (the floor), so
    that it cannot accumulate an unused share.
    """

    __slots__ = ('_times', '_floor')

    def __init__(self) -> None:
        self._times: dict[str, float] = {}
        self._floor: float = 0

    def activate(self, customer: str) -> float:
        """Raise a customer that had no backlog to the floor if it is below."""
        virtual_time = max(self._times.get(customer, 0), self._floor)
        self._times[customer] = virtual_time
        return virtual_time

    def time_of(self, customer: str) -> float:
        """Return the virtual time of the customer."""
        return self._times.get(customer, self._floor)

    def charge(self, customer: str, tokens: float, weight: float) -> float:
        """Add tokens (negative for a refund) and return the virtual time."""
        virtual_time = self.time_of(customer) + tokens / weight
        self._times[customer] = virtual_time
        return virtual_time

    def advance_floor(self, customer: str) -> None:
        """Raise the floor to the virtual time of the customer being served."""
        self._floor = max(self._floor, self.time_of(customer))
