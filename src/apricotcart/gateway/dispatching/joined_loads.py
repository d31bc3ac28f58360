"""Load of the customers of a service over all gateways."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
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
# The load of the other gateways counts for this long, in seconds.
_LOAD_TTL_S: Final = 3.0

_Counts = dict[str, list[int]]


def count_loads(
    running: Iterable[Requirements], queued: Iterable[Requirements]
) -> dict[str, _Counts]:
    """Return running and queued tokens by service, customer and level.

    Only the customers with the largest load are counted.
    """
    counts: dict[str, _Counts] = {}
    for offset, group in enumerate((running, queued)):
        for request in group:
            service = counts.setdefault(request.service, {})
            count = service.setdefault(request.customer, _no_load())
            count[2 * request.level + offset] += request.tokens
    return {service: _largest(loads) for service, loads in counts.items()}


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
        own: Mapping[str, _Counts],
        endpoints: Iterable[EndpointState],
    ) -> CustomerShares:
        """Return the shares of the customers of a service.

        Parameters
        ----------
        now : float
            Time in seconds.
        service : str
            Name of the service.
        own : mapping
            Loads of this gateway as `count_loads` returns them.
        endpoints : iterable of EndpointState
            Endpoints of the service.
        """
        joined = self._join(now, own, service)
        loads = {
            customer: CustomerLoad(counts[::2], sum(counts[1::2]))
            for customer, counts in joined.items()
        }
        running = sum(sum(load.running) for load in loads.values())
        return CustomerShares(loads, int(running / _used_ratio(endpoints)))

    def _join(
        self,
        now: float,
        own: Mapping[str, _Counts],
        service: str,
    ) -> _Counts:
        joined = {
            customer: list(counts)
            for customer, counts in own.get(service, {}).items()
        }
        if now > self._updated_at + _LOAD_TTL_S:
            return joined
        for customer, remote in self._remote.get(service, {}).items():
            counts = joined.setdefault(customer, _no_load())
            for position, tokens in enumerate(remote):
                counts[position] += tokens
        return joined


def _no_load() -> list[int]:
    return [0 for _ in range(LOAD_FIGURES)]


def _largest(loads: _Counts) -> _Counts:
    if len(loads) <= _MAX_CUSTOMERS:
        return loads
    names = nlargest(_MAX_CUSTOMERS, loads, key=lambda name: sum(loads[name]))
    return {name: loads[name] for name in names}


def _used_ratio(endpoints: Iterable[EndpointState]) -> float:
    """Return the ratio of slots in use, at least a small one."""
    used = 0
    slots = 0
    for endpoint in endpoints:
        used += endpoint.requests
        slots += endpoint.instance.slots
    return min(1, max(used, 1) / max(slots, 1))
