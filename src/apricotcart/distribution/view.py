"""An indexed view of one revision of the configuration."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from apricotcart.distribution.updates import ConfigUpdate
from apricotcart.state.records import Resource

_Tables = dict[str, dict[str, Resource]]
_EndpointsByPool = dict[str, tuple[Resource, ...]]


class ConfigView:
    """The configuration at one revision; immutable.

    Request threads may keep using a view while the next one is built.
    """

    __slots__ = ('_keys_by_digest', '_endpoints_by_pool', '_tables', 'revision')

    def __init__(
        self,
        *,
        revision: int,
        tables: _Tables,
        keys_by_digest: dict[str, Resource],
        endpoints_by_pool: _EndpointsByPool,
    ) -> None:
        self.revision = revision
        self._tables = tables
        self._keys_by_digest = keys_by_digest
        self._endpoints_by_pool = endpoints_by_pool

    @classmethod
    def from_snapshot(cls, update: ConfigUpdate) -> ConfigView:
        """Return the view of a snapshot."""
        tables: _Tables = {}
        for resource in update.resources:
            tables.setdefault(resource.kind, {})[resource.name] = resource
        return cls(
            revision=update.revision,
            tables=tables,
            keys_by_digest=_index_keys(tables),
            endpoints_by_pool=_index_endpoints(tables),
        )

    def updated(self, update: ConfigUpdate) -> ConfigView:
        """Return the view after changes based on this revision or earlier."""
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
            keys_by_digest=_index_keys(tables)
            if 'key' in changed
            else self._keys_by_digest,
            endpoints_by_pool=_index_endpoints(tables)
            if 'endpoint' in changed
            else self._endpoints_by_pool,
        )

    def get(self, kind: str, name: str) -> Resource | None:
        """Return a resource, or None if there is none."""
        return self._table(kind).get(name)

    def all_of(self, kind: str) -> Mapping[str, Resource]:
        """Return the resources of a kind by name."""
        return MappingProxyType(self._table(kind))

    def key_of(self, sha256: str) -> Resource | None:
        """Return the API key with a given SHA-256 digest."""
        return self._keys_by_digest.get(sha256)

    def endpoints_of(self, pool: str) -> tuple[Resource, ...]:
        """Return the endpoints of a pool, including draining ones."""
        return self._endpoints_by_pool.get(pool, ())

    def routes_for(self, customer: str | None) -> list[Resource]:
        """Return the routes for a customer, or for no key if it is None."""
        return [
            route
            for route in self._table('route').values()
            if may_use(route, customer)
        ]

    def _table(self, kind: str) -> dict[str, Resource]:
        return self._tables.get(kind) or {}


def may_use(route: Resource, customer: str | None) -> bool:
    """Return whether a customer, or None for no key, may use a route."""
    if route.spec['public']:
        return True
    customers = route.spec['customers']
    if customer is None:
        return False
    return not customers or customer in customers


def _index_keys(tables: _Tables) -> dict[str, Resource]:
    keys = tables.get('key', {}).values()
    return {key.spec['sha256']: key for key in keys}


def _index_endpoints(tables: _Tables) -> _EndpointsByPool:
    endpoints_by_pool: dict[str, list[Resource]] = {}
    for endpoint in tables.get('endpoint', {}).values():
        endpoints_by_pool.setdefault(endpoint.spec['pool'], []).append(endpoint)
    return {
        pool: tuple(endpoints) for pool, endpoints in endpoints_by_pool.items()
    }
