"""Store of resources with an index of the references between them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from apricotcart.errors.tree import NotFoundError
from apricotcart.state.records import Identity, Resource
from apricotcart.state.specs import SPECS


class ResourceStore:
    """Resources, with indexes of references and of key secrets."""

    __slots__ = ('_key_names', '_referrers', '_tables')

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, Resource]] = {
            kind: {} for kind in SPECS
        }
        self._referrers: dict[Identity, dict[Identity, None]] = {}
        self._key_names: dict[str, str] = {}

    def __len__(self) -> int:
        """Return the number of resources of all kinds."""
        return sum(len(table) for table in self._tables.values())

    def __iter__(self) -> Iterator[Resource]:
        """Yield all resources, referenced kinds first."""
        for table in self._tables.values():
            yield from table.values()

    def get(self, kind: str, name: str) -> Resource | None:
        """Return a resource, or None if it does not exist."""
        return self._tables.get(kind, {}).get(name)

    def require(self, identity: Identity) -> Resource:
        """Return a resource that must exist.

        Raises
        ------
        NotFoundError
            If it does not exist.
        """
        resource = self.get(*identity)
        if resource is None:
            raise NotFoundError('there is no {0} named {1}'.format(*identity))
        return resource

    def resources_of_kind(self, kind: str) -> list[Resource]:
        """Return the resources of a kind in order of creation."""
        return list(self._tables.get(kind, {}).values())

    def version(self, identity: Identity) -> int:
        """Return the version of a resource, or 0 if it does not exist."""
        resource = self.get(*identity)
        return resource.version if resource else 0

    def key_name(self, sha256: str) -> str | None:
        """Return the name of the key with a secret digest, or None."""
        return self._key_names.get(sha256)

    def referrers(self, identity: Identity) -> list[Identity]:
        """Return the resources that refer to one, sorted by kind and name."""
        # Sorted, since the order of the index may differ after a restore.
        return sorted(self._referrers.get(identity, ()))

    def link(self, resource: Resource) -> None:
        """Add or replace a resource whose old spec has been unlinked."""
        self._tables[resource.kind][resource.name] = resource
        for target in SPECS[resource.kind].references(resource.spec):
            self._referrers.setdefault(target, {})[resource.identity] = None
        if resource.kind == 'key':
            self._key_names[resource.spec['sha256']] = resource.name

    def unlink(self, resource: Resource) -> None:
        """Remove the index entries of a resource, but not the resource."""
        for target in SPECS[resource.kind].references(resource.spec):
            referrers = self._referrers[target]
            referrers.pop(resource.identity)
            if not referrers:
                self._referrers.pop(target)
        if resource.kind == 'key':
            self._key_names.pop(resource.spec['sha256'])

    def replace(self, resource: Resource) -> None:
        """Replace a resource with one that has the same spec."""
        self._tables[resource.kind][resource.name] = resource

    def remove(self, resource: Resource) -> None:
        """Remove a resource and its index entries."""
        self.unlink(resource)
        self._tables[resource.kind].pop(resource.name)

    def load(self, raw_resources: Iterable[Mapping[str, Any]]) -> None:
        """Load the wire forms of resources into an empty store."""
        for fields in raw_resources:
            self.link(Resource.from_wire(fields))
