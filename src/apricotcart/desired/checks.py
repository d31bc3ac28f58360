"""Checks the consistency of a desired state."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from apricotcart.desired.records import DesiredState, Route


def find_faults(state: DesiredState) -> list[str]:
    """Return descriptions of all faults of a desired state."""
    return [
        *_version_faults(state),
        *_route_faults(state),
        *_location_faults(state),
        *_name_faults(state),
        *_key_faults(state),
    ]


def _version_faults(state: DesiredState) -> Iterator[str]:
    if state.version < 0:
        yield f'version {state.version} is negative'


def _route_faults(state: DesiredState) -> Iterator[str]:
    services = {service.name for service in state.services}
    for route in state.routes:
        yield from _unknown_services(route, services)
        if sum(split.weight for split in route.splits) <= 0:
            yield f'route {route.name}: the weights add up to 0 or less'
        if any(split.weight < 0 for split in route.splits):
            yield f'route {route.name}: a weight is negative'
        if route.timeout_s <= 0:
            yield f'route {route.name}: the timeout is 0 or negative'
        if not _is_prefix(route.prefix):
            yield f'route {route.name}: the prefix needs a slash at both ends'


def _unknown_services(route: Route, services: set[str]) -> Iterator[str]:
    for split in route.splits:
        if split.service not in services:
            yield f'route {route.name}: unknown service {split.service}'


def _is_prefix(prefix: str) -> bool:
    return prefix.startswith('/') and prefix.endswith('/')


def _location_faults(state: DesiredState) -> Iterator[str]:
    locations = Counter((route.host, route.prefix) for route in state.routes)
    for (host, prefix), count in locations.items():
        if count > 1:
            yield f'{count} routes share host {host} and prefix {prefix}'


def _name_faults(state: DesiredState) -> Iterator[str]:
    names = Counter(service.name for service in state.services)
    for name, count in names.items():
        if count > 1:
            yield f'{count} services are named {name}'


def _key_faults(state: DesiredState) -> Iterator[str]:
    holders: dict[str, str] = {}
    for customer in state.customers or ():
        for key in customer.keys:
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                yield f'customers {holder} and {customer.name} share a key'
