"""Checks of a batch of resource changes against the state after it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Any, Final

from apricotcart.state.batch_rules import BatchRules, Change
from apricotcart.state.fields import NAME_PATTERN, Integer, Text
from apricotcart.state.records import Fault, Identity
from apricotcart.state.replies import conflict, invalid
from apricotcart.state.schema import Schema
from apricotcart.state.specs import SPECS

if TYPE_CHECKING:
    from apricotcart.state.store import ResourceStore

MAX_CHANGES: Final = 10_000
_CHANGE: Final = Schema(
    {
        'kind': Text(),
        'name': Text(pattern=NAME_PATTERN),
        'expected_version': Integer(default=0),
    },
)


class Batch:
    """Checks changes one by one, then against each other and the rest.

    Parameters
    ----------
    store : ResourceStore
        The resources before the batch.
    """

    __slots__ = ('_faults', '_store', 'changes')

    def __init__(self, store: ResourceStore) -> None:
        """Start with no change and no fault."""
        self._store = store
        self._faults: list[Fault] = []
        self.changes: dict[Identity, Change] = {}

    def read(self, given: Any) -> None:
        """Read and check all changes.

        Raises
        ------
        InvalidResourceError
            If any field is invalid; lists all of them.
        VersionConflictError
            If all fields are valid and a version differs.
        """
        if not isinstance(given, list) or len(given) > MAX_CHANGES:
            message = f'must be a list of at most {MAX_CHANGES}'
            raise invalid([Fault(path='changes', message=message)])
        for position, fields in enumerate(given):
            self._read_change(f'changes[{position}]', fields)
        self._check_together()
        if self._faults:
            raise invalid(self._faults)
        self._check_versions()

    def _read_change(self, path: str, fields: Any) -> None:
        if not isinstance(fields, Mapping):
            self._add(path, 'must be a mapping')
            return
        head = {key: fields[key] for key in fields if key != 'spec'}
        # None stands for any version.
        if head.get('expected_version', 0) is None:
            head.pop('expected_version')
        full, faults = _CHANGE.normalize(head, path)
        schema = SPECS.get(str(full['kind']))
        if schema is None:
            faults.append(Fault(path=f'{path}.kind', message='unknown kind'))
            self._faults.extend(faults)
            return
        spec, spec_faults = schema.normalize(
            fields.get('spec'),
            f'{path}.spec',
        )
        self._faults.extend(faults + spec_faults)
        if not faults:
            self._keep(path, full, fields, spec)

    def _keep(
        self,
        path: str,
        full: dict[str, Any],
        fields: Mapping[str, Any],
        spec: dict[str, Any],
    ) -> None:
        change = Change(
            path=path,
            kind=full['kind'],
            name=full['name'],
            expected_version=fields.get('expected_version'),
            spec=spec,
        )
        if change.identity in self.changes:
            self._add(path, 'the batch changes this resource twice')
        self.changes[change.identity] = change

    def _check_together(self) -> None:
        checks = BatchRules(self._store, self.changes)
        faulty = {fault.path for fault in self._faults}
        for change in self.changes.values():
            self._faults.extend(checks.reference_faults(change, faulty))
        # The other rules read fields of several changes, which all must be
        # valid by themselves.
        if faulty:
            return
        for valid_change in self.changes.values():
            self._faults.extend(checks.rule_faults(valid_change))

    def _check_versions(self) -> None:
        faults = [
            Fault(path=f'{change.path}.expected_version', message=message)
            for change in self.changes.values()
            for message in self._version_faults(change)
        ]
        if faults:
            raise conflict(faults)

    def _version_faults(self, change: Change) -> Iterator[str]:
        expected = change.expected_version
        current = self._store.version(change.identity)
        if expected is not None and expected != current:
            yield f'is {expected}, but the version is {current}'

    def _add(self, path: str, message: str) -> None:
        self._faults.append(Fault(path=path, message=message))
