"""Virtual time of customers: weighted tokens by pool and tier."""

from __future__ import annotations


class Ledger:
    """Tokens that each customer has used for its weight.

    The customer with the least virtual time is served first. A customer
    that returns from idleness starts at the virtual time of the queue, so
    that it cannot save up an unused share.
    """

    __slots__ = ('_used', '_floor')

    def __init__(self) -> None:
        """Start with all customers at zero."""
        self._used: dict[str, float] = {}
        self._floor: float = 0

    def activate(self, customer: str) -> float:
        """Lift a customer that had no backlog to the current floor."""
        used = max(self._used.get(customer, 0), self._floor)
        self._used[customer] = used
        return used

    def used(self, customer: str) -> float:
        """Give the virtual time of the customer."""
        return self._used.get(customer, self._floor)

    def charge(self, customer: str, tokens: float, weight: float) -> float:
        """Add tokens, negative for a refund, and give the virtual time."""
        used = self.used(customer) + tokens / weight
        self._used[customer] = used
        return used

    def advance(self, customer: str) -> None:
        """Move the floor to the customer that is served now."""
        self._floor = max(self._floor, self.used(customer))
