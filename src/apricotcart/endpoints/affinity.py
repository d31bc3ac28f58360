"""Estimates which endpoints have a prompt prefix in their cache."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from apricotcart.endpoints.records import CacheEvent

# Time constant of the estimate. The cache of an engine is limited, so that a
# prefix is probably evicted after this time.
PREFIX_LIFETIME_S = 60.0
MAX_PREFIXES = 4096
_MAX_HOLDERS = 3
# Factor on the probability if cache events were lost since.
_GAP_FACTOR = 0.5

_Key = tuple[str, str]


class PrefixTable:
    """Endpoints that cache prefixes, by customer and prefix hash.

    The customer is part of the key, so that no customer can infer the prompts
    of another one from latencies.
    """

    __slots__ = ('_holders', '_gap_at', '_invalidated_at', '_sequence')

    def __init__(self) -> None:
        self._holders: OrderedDict[_Key, dict[str, float]] = OrderedDict()
        self._gap_at: dict[str, float] = {}
        self._invalidated_at: dict[str, float] = {}
        self._sequence: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of prefixes."""
        return len(self._holders)

    def record_stored(
        self, now: float, endpoint: str, customer: str, prefix: str
    ) -> None:
        """Record that the endpoint has cached the prefix."""
        key = (customer, prefix)
        holders = self._holders.setdefault(key, {})
        holders[endpoint] = now
        self._holders.move_to_end(key)
        if len(holders) > _MAX_HOLDERS:
            holders.pop(min(holders, key=holders.__getitem__))
        if len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)

    def record_evicted(self, endpoint: str, customer: str, prefix: str) -> None:
        """Record that the endpoint has evicted the prefix."""
        holders = self._holders.get((customer, prefix))
        if holders:
            holders.pop(endpoint, None)

    def on_sequence(self, now: float, endpoint: str, sequence: int) -> None:
        """Record the sequence number of a cache event and detect gaps."""
        last = self._sequence.get(endpoint)
        self._sequence[endpoint] = sequence
        if last is not None and sequence != last + 1:
            self._gap_at[endpoint] = now

    def on_event(self, now: float, endpoint: str, event: CacheEvent) -> None:
        """Apply a cache event."""
        self.on_sequence(now, endpoint, event.sequence)
        if event.stored:
            self.record_stored(now, endpoint, event.customer, event.prefix_hash)
        else:
            self.record_evicted(endpoint, event.customer, event.prefix_hash)

    def invalidate_endpoint(self, now: float, endpoint: str) -> None:
        """Record that the endpoint lost its entire cache."""
        self._invalidated_at[endpoint] = now

    def holders(
        self, now: float, customer: str, prefix: str
    ) -> dict[str, float]:
        """Return the probability that each endpoint has the prefix cached."""
        holders = self._holders.get((customer, prefix))
        if not prefix or not holders:
            return {}
        return {
            endpoint: self._probability(now, endpoint, stored_at)
            for endpoint, stored_at in holders.items()
            if stored_at > self._invalidated_at.get(endpoint, -math.inf)
        }

    def _probability(
        self, now: float, endpoint: str, stored_at: float
    ) -> float:
        probability = math.exp((stored_at - now) / PREFIX_LIFETIME_S)
        if self._gap_at.get(endpoint, stored_at) > stored_at:
            # An eviction may be among the lost events.
            return probability * _GAP_FACTOR
        return probability
