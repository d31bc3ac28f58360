"""Validation rules across several resources or fields of a batch."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Mapping
from typing import TYPE_CHECKING, Any, Final

from apricotcart.state.records import Fault, Identity
from apricotcart.state.specs import SPECS

if TYPE_CHECKING:
    from apricotcart.state.store import ResourceStore

#: Valid pairs of route kind and pool kind.
_POOL_KINDS: Final = (('chat', 'engine'), ('service', 'service'))


class Change:
    """One change of a batch, with its path and normalized spec."""

    __slots__ = ('expected_version', 'kind', 'name', 'path', 'spec')

    def __init__(
        self,
        *,
        path: str,
        kind: str,
        name: str,
        expected_version: int | None,
        spec: dict[str, Any],
    ) -> None:
        self.path = path
        self.kind = kind
        self.name = name
        self.expected_version = expected_version
        self.spec = spec

    @property
    def identity(self) -> Identity:
        """Kind and name."""
        return self.kind, self.name

    def fault(self, field: str, message: str) -> Fault:
        """Return a fault for a field of the spec."""
        return Fault(path=f'{self.path}.spec.{field}', message=message)


class BatchRules:
    """Validates changes across several resources or fields."""

    __slots__ = ('_changes', '_key_names', '_rules', '_store')

    def __init__(
        self,
        store: ResourceStore,
        changes: Mapping[Identity, Change],
    ) -> None:
        """Initialize with the resources before the batch and its changes."""
        self._store = store
        self._changes = changes
        self._key_names: dict[str, str] = {}
        self._rules = {
            'class': self._class_faults,
            'key': self._key_faults,
            'pool': self._pool_faults,
            'endpoint': self._endpoint_faults,
            'route': self._route_faults,
        }

    def reference_faults(
        self,
        change: Change,
        invalid_paths: Collection[str],
    ) -> Iterator[Fault]:
        """Yield the faults of references to missing resources.

        Parameters
        ----------
        change : Change
            The change; its spec may have invalid fields.
        invalid_paths : collection of str
            Paths of invalid fields, whose references are not checked.
        """
        valid = {
            field: raw
            for field, raw in change.spec.items()
            if change.fault(field, '').path not in invalid_paths
        }
        references = SPECS[change.kind].references_by_field(valid)
        for field, (kind, name) in references:
            if not self._exists(kind, name):
                message = f'there is no {kind} named {name}'
                yield change.fault(field, message)

    def rule_faults(self, change: Change) -> Iterator[Fault]:
        """Yield the faults of a change whose single fields are valid."""
        rule = self._rules.get(change.kind)
        if rule:
            yield from rule(change)

    def _exists(self, kind: str, name: str) -> bool:
        identity = (kind, name)
        return identity in self._changes or bool(self._store.get(*identity))

    def _spec_of(self, kind: str, name: str) -> Mapping[str, Any] | None:
        change = self._changes.get((kind, name))
        if change:
            return change.spec
        resource = self._store.get(kind, name)
        return resource.spec if resource else None

    def _class_faults(self, change: Change) -> Iterator[Fault]:
        # Minimum shares that add up to more than 1 cannot be guaranteed.
        names = {
            resource.name for resource in self._store.resources_of_kind('class')
        }
        names.update(name for kind, name in self._changes if kind == 'class')
        specs = [self._spec_of('class', name) or {} for name in names]
        if math.fsum(spec['min_share'] for spec in specs) > 1:
            yield change.fault(
                'min_share', 'adds up to more than 1 with the other classes'
            )

    def _key_faults(self, change: Change) -> Iterator[Fault]:
        # A secret shared by two keys could identify two customers.
        secret = change.spec['sha256']
        used_by = self._key_names.setdefault(secret, change.name)
        if used_by == change.name:
            used_by = self._store.key_name(secret) or used_by
            used_by_spec = self._spec_of('key', used_by) or {}
            if used_by_spec.get('sha256') != secret:
                return
        if used_by != change.name:
            yield change.fault('sha256', f'is already used by key {used_by}')

    def _pool_faults(self, change: Change) -> Iterator[Fault]:
        resource = self._store.get(change.kind, change.name)
        if resource and resource.spec['kind'] != change.spec['kind']:
            yield change.fault('kind', 'cannot be changed')

    def _endpoint_faults(self, change: Change) -> Iterator[Fault]:
        pool = self._spec_of('pool', change.spec['pool'])
        if pool and pool['kind'] == 'service' and change.spec['models']:
            yield change.fault(
                'models', 'must be empty for an endpoint of a service pool'
            )

    def _route_faults(self, change: Change) -> Iterator[Fault]:
        yield from _model_faults(change)
        yield from _public_faults(change)
        pool = self._spec_of('pool', change.spec['pool'])
        if pool and (change.spec['kind'], pool['kind']) not in _POOL_KINDS:
            yield change.fault(
                'pool', 'is of a kind that cannot serve this kind of route'
            )


def _model_faults(change: Change) -> Iterator[Fault]:
    is_chat = change.spec['kind'] == 'chat'
    has_model = change.spec['model'] is not None
    if is_chat and not has_model:
        yield change.fault('model', 'is required for a chat route')
    if has_model and not is_chat:
        yield change.fault('model', 'is allowed for chat routes only')


def _public_faults(change: Change) -> Iterator[Fault]:
    if not change.spec['public']:
        return
    if change.spec['customers']:
        yield change.fault('customers', 'must be empty for a public route')
    if not change.spec['idempotent']:
        # An order record needs the customer, which is known from the key.
        yield change.fault('public', 'is allowed for idempotent routes only')
