"""Assignment of endpoints to hosts for isolating suspect requests."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from apricotcart.endpoints.records import Endpoint


def assign_isolation(
    hosts: Iterable[str], endpoints: Iterable[Endpoint]
) -> dict[str, set[str]]:
    """Assign the endpoints of each pool to hosts for their suspects.

    A suspect is a request that was running on an endpoint when it crashed.
    It runs only on endpoints assigned to its host, so that suspects of two
    hosts do not share an endpoint and a second crash shows which request is
    the cause. With more hosts than endpoints, some endpoints are assigned to
    several hosts.
    """
    assigned: dict[str, set[str]] = {host: set() for host in sorted(hosts)}
    pools: dict[str, list[str]] = {}
    for endpoint in endpoints:
        if not endpoint.leaving:
            pools.setdefault(endpoint.pool, []).append(endpoint.name)
    for names in pools.values():
        names.sort()
        for position, host in enumerate(assigned):
            host_endpoints = names[position :: len(assigned)]
            fallback = names[position % len(names)]
            assigned[host].update(host_endpoints or [fallback])
    return assigned
