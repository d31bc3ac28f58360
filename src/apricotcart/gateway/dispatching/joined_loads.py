"""Load of the customers of a service over all gateways."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from heapq import nlargest
from typing import Final

from apricotcart.coordinator.exchange_messages import (
    LOAD_FIGURES,
    CustomerLoads,
)
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    Requirements,
)
from apricotcart.scheduling.customer_shares import (
    CustomerLoad,
    CustomerShares,
)

# Number of customers of a service that one gateway reports.
_MAX_CUSTOMERS: Final = 100
# Ratio of the slots that fill while requests wait: each level leaves slots to
# more urgent ones, and gateways hear of a free slot late. Shares of all slots
# would let a customer fill those that others need.
_USABLE_RATIO: Final = 0.8
# The load of the other gateways counts for this long, in seconds.
_LOAD_TTL_S: Final = 3.0

_Counts = dict[str, list[int]]


class LocalLoads:
    """Running and queued tokens of this gateway by service and customer."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def add_running(self, requirements: Requirements) -> None:
        """Count a running request."""
        self._add(requirements, 2 * requirements.level, requirements.tokens)

    def add_queued(self, requirements: Requirements) -> None:
        """Count a queued request."""
        self._add(requirements, 2 * requirements.level + 1, requirements.tokens)

    def remove_queued(self, requirements: Requirements) -> None:
        """Subtract a request that has left the queue."""
        position = 2 * requirements.level + 1
        counts = self._add(requirements, position, -requirements.tokens)
        if not any(counts):
            self._counts[requirements.service].pop(requirements.customer)

    def of_service(self, service: str) -> _Counts:
        """Return the tokens at each level by customer."""
        return self._counts.get(service, {})

    def largest(self) -> dict[str, _Counts]:
        """Return the tokens of the customers with the largest loads."""
        return {
            service: _largest(loads) for service, loads in self._counts.items()
        }

    def _add(
        self, requirements: Requirements, position: int, tokens: int
    ) -> list[int]:
        service = self._counts.setdefault(requirements.service, {})
        counts = service.setdefault(requirements.customer, _no_load())
        counts[position] += tokens
        return counts


def count_loads(
    running: Iterable[Requirements], queued: Iterable[Requirements]
) -> dict[str, _Counts]:
    """Return running and queued tokens by service, customer and level.

    Only the customers with the largest load are counted.
    """
    loads = LocalLoads()
    for request in running:
        loads.add_running(request)
    for waiting in queued:
        loads.add_queued(waiting)
    return loads.largest()


class JoinedLoads:
    """Loads of the other gateways, joined with those of this one."""

    __slots__ = ('_remote', '_updated_at')

    def __init__(self) -> None:
        self._remote: Mapping[str, CustomerLoads] = {}
        self._updated_at = -math.inf

    def update(self, remote: Mapping[str, CustomerLoads], now: float) -> None:
        """Replace the loads of the other gateways.

        Parameters
        ----------
        remote : mapping of str to CustomerLoads
            Running and queued tokens by service and customer, for each level.
        now : float
            Time in seconds.
        """
        self._remote = remote
        self._updated_at = now

    def shares(
        self,
        now: float,
        service: str,
        queued: LocalLoads,
        endpoints: Collection[EndpointState],
    ) -> CustomerShares:
        """Return the shares of the customers of a service.

        Parameters
        ----------
        now : float
            Time in seconds.
        service : str
            Name of the service.
        queued : LocalLoads
            Load of the requests that this gateway has queued.
        endpoints : collection of EndpointState
            Endpoints of the service.
        """
        running = LocalLoads()
        for endpoint in endpoints:
            for placed in endpoint.local_requests.values():
                running.add_running(placed.requirements)
        joined: _Counts = {}
        _add_counts(joined, queued.of_service(service))
        _add_counts(joined, running.of_service(service))
        _add_counts(joined, self._recent(now, service))
        loads = {
            customer: CustomerLoad(counts[::2], counts[1::2])
            for customer, counts in joined.items()
        }
        tokens = sum(sum(load.running) for load in loads.values())
        return CustomerShares(loads, int(tokens / _used_ratio(endpoints)))

    def _recent(self, now: float, service: str) -> CustomerLoads:
        if now > self._updated_at + _LOAD_TTL_S:
            return {}
        return self._remote.get(service, {})


def _add_counts(joined: _Counts, added: CustomerLoads) -> None:
    for customer, counts in added.items():
        total = joined.setdefault(customer, _no_load())
        for position, tokens in enumerate(counts[:LOAD_FIGURES]):
            total[position] += tokens


def _no_load() -> list[int]:
    return [0 for _ in range(LOAD_FIGURES)]


def _largest(loads: _Counts) -> _Counts:
    if len(loads) <= _MAX_CUSTOMERS:
        return loads
    names = nlargest(_MAX_CUSTOMERS, loads, key=lambda name: sum(loads[name]))
    return {name: loads[name] for name in names}


def _used_ratio(endpoints: Iterable[EndpointState]) -> float:
    """Return the ratio of usable slots in use, at least a small one."""
    used = 0
    slots = 0
    for endpoint in endpoints:
        used += endpoint.requests
        slots += endpoint.instance.slots
    usable = max(1, slots * _USABLE_RATIO)
    return min(1, max(used, 1) / usable)
