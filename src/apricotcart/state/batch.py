"""Parsing and validation of a batch of resource changes."""

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
_CHANGE_FIELDS: Final = Schema(
    {
        'kind': Text(),
        'name': Text(pattern=NAME_PATTERN),
        'expected_version': Integer(default=0),
    },
)


class Batch:
    """Validates each change, then the state after all of them.

    Parameters
    ----------
    store : ResourceStore
        The resources before the batch.
    """

    __slots__ = ('_faults', '_store', 'changes')

    def __init__(self, store: ResourceStore) -> None:
        """Initialize without changes and faults."""
        self._store = store
        self._faults: list[Fault] = []
        self.changes: dict[Identity, Change] = {}

    def parse(self, raw_changes: Any) -> None:
        """Parse and validate all changes.

        Raises
        ------
        InvalidResourceError
            If any field is invalid; the error lists all faults.
        VersionConflictError
            If all fields are valid and an expected version differs.
        """
        if not isinstance(raw_changes, list) or len(raw_changes) > MAX_CHANGES:
            message = f'must be a list of at most {MAX_CHANGES} changes'
            raise invalid([Fault(path='changes', message=message)])
        for position, raw_change in enumerate(raw_changes):
            self._parse_change(f'changes[{position}]', raw_change)
        self._check_rules()
        if self._faults:
            raise invalid(self._faults)
        self._check_versions()

    def _parse_change(self, path: str, raw_change: Any) -> None:
        if not isinstance(raw_change, Mapping):
            self._add_fault(path, 'must be a mapping')
            return
        raw_header = {
            key: raw_change[key] for key in raw_change if key != 'spec'
        }
        # None accepts any version.
        if raw_header.get('expected_version', 0) is None:
            raw_header.pop('expected_version')
        header, faults = _CHANGE_FIELDS.normalize(raw_header, path)
        schema = SPECS.get(str(header['kind']))
        if schema is None:
            faults.append(
                Fault(path=f'{path}.kind', message='unknown resource kind')
            )
            self._faults.extend(faults)
            return
        spec, spec_faults = schema.normalize(
            raw_change.get('spec'),
            f'{path}.spec',
        )
        self._faults.extend(faults + spec_faults)
        if not faults:
            self._add_change(path, header, raw_change, spec)

    def _add_change(
        self,
        path: str,
        header: dict[str, Any],
        raw_change: Mapping[str, Any],
        spec: dict[str, Any],
    ) -> None:
        change = Change(
            path=path,
            kind=header['kind'],
            name=header['name'],
            expected_version=raw_change.get('expected_version'),
            spec=spec,
        )
        if change.identity in self.changes:
            self._add_fault(
                path, 'the batch changes this resource more than once'
            )
        self.changes[change.identity] = change

    def _check_rules(self) -> None:
        rules = BatchRules(self._store, self.changes)
        invalid_paths = {fault.path for fault in self._faults}
        for change in self.changes.values():
            self._faults.extend(rules.reference_faults(change, invalid_paths))
        # The other rules combine fields of several changes, so all single
        # fields must be valid.
        if invalid_paths:
            return
        for valid_change in self.changes.values():
            self._faults.extend(rules.rule_faults(valid_change))

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
            yield f'is {expected}, but the current version is {current}'

    def _add_fault(self, path: str, message: str) -> None:
        self._faults.append(Fault(path=path, message=message))
