"""Endpoints on which each host may run suspects."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from apricotcart.endpoints.records import Endpoint


def assign_isolation(
    hosts: Iterable[str], endpoints: Iterable[Endpoint]
) -> dict[str, set[str]]:
    """Assign the endpoints of each pool to hosts for their suspects.

    A suspect runs only on its host's own endpoints, so that suspects of two
    hosts do not share one and a second crash shows which is the cause. With
    more hosts than endpoints, some endpoints are assigned twice.
    """
    assigned: dict[str, set[str]] = {host: set() for host in sorted(hosts)}
    pools: dict[str, list[str]] = {}
    for endpoint in endpoints:
        if not endpoint.leaving:
            pools.setdefault(endpoint.pool, []).append(endpoint.name)
    for names in pools.values():
        names.sort()
        for position, host in enumerate(assigned):
            own = names[position :: len(assigned)]
            spread = names[position % len(names)]
            assigned[host].update(own or [spread])
    return assigned
