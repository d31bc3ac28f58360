"""Estimates of output length and duration from finished requests."""

from __future__ import annotations

_MIN_GAIN = 0.1
_DEFAULT_TOKENS = 128.0


class Estimate:
    """Exponential moving averages of one customer and class."""

    __slots__ = ('tokens', 'duration_s', 'samples')

    def __init__(self, tokens: float) -> None:
        """Initialize with an assumed output length in tokens."""
        self.tokens = tokens
        self.duration_s: float = 0
        self.samples = 0

    def add(self, tokens: float, duration_s: float) -> None:
        """Add the length and duration of one finished request."""
        self.samples += 1
        gain = max(_MIN_GAIN, 1.0 / self.samples)
        self.tokens += gain * (tokens - self.tokens)
        self.duration_s += gain * (duration_s - self.duration_s)


class History:
    """Estimates by customer and class."""

    __slots__ = ('_by_customer', '_by_class')

    def __init__(self) -> None:
        self._by_customer: dict[tuple[str, str], Estimate] = {}
        self._by_class: dict[str, Estimate] = {}

    def estimate(self, customer: str, class_name: str) -> Estimate:
        """Return the customer's own estimate, or that of its class.

        A class without finished requests gets a default length.
        """
        customer_estimate = self._by_customer.get((customer, class_name))
        if customer_estimate is not None:
            return customer_estimate
        class_estimate = self._by_class.get(class_name)
        return (
            Estimate(_DEFAULT_TOKENS)
            if class_estimate is None
            else class_estimate
        )

    def add(
        self, customer: str, class_name: str, tokens: int, duration_s: float
    ) -> None:
        """Add the length and duration of one finished request."""
        key = (customer, class_name)
        customer_estimate = self._by_customer.get(key)
        if customer_estimate is None:
            customer_estimate = Estimate(_DEFAULT_TOKENS)
            self._by_customer[key] = customer_estimate
        customer_estimate.add(tokens, duration_s)
        class_estimate = self._by_class.setdefault(
            class_name, Estimate(_DEFAULT_TOKENS)
        )
        class_estimate.add(tokens, duration_s)
