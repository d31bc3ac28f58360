"""Estimates of output length and duration from finished requests."""

from __future__ import annotations

_GAIN = 0.1
_DEFAULT_TOKENS = 128.0


class Estimate:
    """Moving averages of one customer and class."""

    __slots__ = ('tokens', 'duration_s', 'samples')

    def __init__(self, tokens: float) -> None:
        """Start with an assumed length."""
        self.tokens = tokens
        self.duration_s: float = 0
        self.samples = 0

    def add(self, tokens: float, duration_s: float) -> None:
        """Take in one finished request."""
        self.samples += 1
        gain = max(_GAIN, 1.0 / self.samples)
        self.tokens += gain * (tokens - self.tokens)
        self.duration_s += gain * (duration_s - self.duration_s)


class History:
    """Estimates by customer and class."""

    __slots__ = ('_by_customer', '_by_class')

    def __init__(self) -> None:
        """Start without any history."""
        self._by_customer: dict[tuple[str, str], Estimate] = {}
        self._by_class: dict[str, Estimate] = {}

    def estimate(self, customer: str, class_name: str) -> Estimate:
        """Give the customer's own estimate, or that of its class."""
        own = self._by_customer.get((customer, class_name))
        if own is not None:
            return own
        shared = self._by_class.get(class_name)
        return Estimate(_DEFAULT_TOKENS) if shared is None else shared

    def add(
        self, customer: str, class_name: str, tokens: int, duration_s: float
    ) -> None:
        """Take in one finished request."""
        key = (customer, class_name)
        own = self._by_customer.get(key)
        if own is None:
            own = Estimate(_DEFAULT_TOKENS)
            self._by_customer[key] = own
        own.add(tokens, duration_s)
        shared = self._by_class.setdefault(
            class_name, Estimate(_DEFAULT_TOKENS)
        )
        shared.add(tokens, duration_s)
