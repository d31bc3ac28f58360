"""Resources by kind and name, and who refers to whom."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from apricotcart.errors.tree import NotFoundError
from apricotcart.state.records import Identity, Resource
from apricotcart.state.specs import SPECS


class ResourceStore:
    """Resources with an index of references and of key secrets."""

    __slots__ = ('_key_names', '_referrers', '_tables')

    def __init__(self) -> None:
        """Start empty."""
        self._tables: dict[str, dict[str, Resource]] = {
            kind: {} for kind in SPECS
        }
        self._referrers: dict[Identity, dict[Identity, None]] = {}
        self._key_names: dict[str, str] = {}

    def __len__(self) -> int:
        """Count the resources of all kinds."""
        return sum(len(table) for table in self._tables.values())

    def __iter__(self) -> Iterator[Resource]:
        """Give all resources, referenced kinds first."""
        for table in self._tables.values():
            yield from table.values()

    def get(self, kind: str, name: str) -> Resource | None:
        """Give a resource, or None if there is none."""
        return self._tables.get(kind, {}).get(name)

    def existing(self, identity: Identity) -> Resource:
        """Give a resource.

        Raises
        ------
        NotFoundError
            If there is none.
        """
        resource = self.get(*identity)
        if resource is None:
            raise NotFoundError('there is no {0} named {1}'.format(*identity))
        return resource

    def all_of(self, kind: str) -> list[Resource]:
        """Give the resources of a kind in order of creation."""
        return list(self._tables.get(kind, {}).values())

    def version(self, identity: Identity) -> int:
        """Give the version of a resource, 0 if there is none."""
        resource = self.get(*identity)
        return resource.version if resource else 0

    def key_name(self, sha256: str) -> str | None:
        """Give the name of the key with a secret's digest."""
        return self._key_names.get(sha256)

    def referrers(self, identity: Identity) -> list[Identity]:
        """Give the resources that refer to one, in order of their names."""
        # A restored index has another order than the one it was made from.
        return sorted(self._referrers.get(identity, ()))

    def link(self, resource: Resource) -> None:
        """Add or replace a resource whose old spec is unlinked."""
        self._tables[resource.kind][resource.name] = resource
        for target in SPECS[resource.kind].references(resource.spec):
            self._referrers.setdefault(target, {})[resource.identity] = None
        if resource.kind == 'key':
            self._key_names[resource.spec['sha256']] = resource.name

    def unlink(self, resource: Resource) -> None:
        """Forget what a resource refers to; it stays in its table."""
        for target in SPECS[resource.kind].references(resource.spec):
            referrers = self._referrers[target]
            referrers.pop(resource.identity)
            if not referrers:
                self._referrers.pop(target)
        if resource.kind == 'key':
            self._key_names.pop(resource.spec['sha256'])

    def replace(self, resource: Resource) -> None:
        """Replace a resource by one with the same spec."""
        self._tables[resource.kind][resource.name] = resource

    def remove(self, resource: Resource) -> None:
        """Remove a resource."""
        self.unlink(resource)
        self._tables[resource.kind].pop(resource.name)

    def load(self, wires: Iterable[Mapping[str, Any]]) -> None:
        """Fill an empty store from the wire forms of resources."""
        for fields in wires:
            self.link(Resource.from_wire(fields))
