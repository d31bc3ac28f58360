"""One revision of the configuration with its indexes."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from apricotcart.distribution.updates import ConfigUpdate
from apricotcart.state.records import Resource

_Tables = dict[str, dict[str, Resource]]
_Pools = dict[str, tuple[Resource, ...]]


class ConfigView:
    """The configuration at one revision; never altered.

    Request threads keep using the view that they took while the next one is
    built.
    """

    __slots__ = ('_keys', '_pools', '_tables', 'revision')

    def __init__(
        self,
        *,
        revision: int,
        tables: _Tables,
        keys: dict[str, Resource],
        pools: _Pools,
    ) -> None:
        """Keep the tables and their indexes."""
        self.revision = revision
        self._tables = tables
        self._keys = keys
        self._pools = pools

    @classmethod
    def from_snapshot(cls, update: ConfigUpdate) -> ConfigView:
        """Build the view of a snapshot."""
        tables: _Tables = {}
        for resource in update.resources:
            tables.setdefault(resource.kind, {})[resource.name] = resource
        return cls(
            revision=update.revision,
            tables=tables,
            keys=_by_secret(tables),
            pools=_by_pool(tables),
        )

    def updated(self, update: ConfigUpdate) -> ConfigView:
        """Build the view after changes that start at or before this one."""
        tables = dict(self._tables)
        changed = {resource.kind for resource in update.resources}
        changed.update(kind for kind, _ in update.deleted)
        for kind in changed:
            tables[kind] = dict(tables.get(kind, {}))
        for resource in update.resources:
            tables[resource.kind][resource.name] = resource
        for kind, name in update.deleted:
            tables[kind].pop(name, None)
        return ConfigView(
            revision=update.revision,
            tables=tables,
            keys=_by_secret(tables) if 'key' in changed else self._keys,
            pools=_by_pool(tables) if 'endpoint' in changed else self._pools,
        )

    def get(self, kind: str, name: str) -> Resource | None:
        """Give a resource, or None if there is none."""
        return self._table(kind).get(name)

    def all_of(self, kind: str) -> Mapping[str, Resource]:
        """Give the resources of a kind by name."""
        return MappingProxyType(self._table(kind))

    def key_of(self, sha256: str) -> Resource | None:
        """Give the key whose secret has a digest."""
        return self._keys.get(sha256)

    def endpoints_of(self, pool: str) -> tuple[Resource, ...]:
        """Give the endpoints of a pool, draining ones included."""
        return self._pools.get(pool, ())

    def routes_for(self, customer: str | None) -> list[Resource]:
        """Give the routes that a customer, or None for no key, may use."""
        return [
            route
            for route in self._table('route').values()
            if may_use(route, customer)
        ]

    def _table(self, kind: str) -> dict[str, Resource]:
        return self._tables.get(kind) or {}


def may_use(route: Resource, customer: str | None) -> bool:
    """Say whether a route is for a customer, or None for no key."""
    if route.spec['public']:
        return True
    customers = route.spec['customers']
    if customer is None:
        return False
    return not customers or customer in customers


def _by_secret(tables: _Tables) -> dict[str, Resource]:
    keys = tables.get('key', {}).values()
    return {key.spec['sha256']: key for key in keys}


def _by_pool(tables: _Tables) -> _Pools:
    pools: dict[str, list[Resource]] = {}
    for endpoint in tables.get('endpoint', {}).values():
        pools.setdefault(endpoint.spec['pool'], []).append(endpoint)
    return {pool: tuple(members) for pool, members in pools.items()}
