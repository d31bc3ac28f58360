"""Differences between declared resources and those that a cluster stores."""

from __future__ import annotations

import difflib
import json
from collections.abc import Iterable
from typing import Any

from apricotcart.commands.operator_client import OperatorClient
from apricotcart.commands.resources_file import DeclaredResource
from apricotcart.state.specs import SPECS


class Change:
    """A declared resource and its counterpart in the cluster.

    Parameters
    ----------
    declared : DeclaredResource
        Resource as declared.
    stored : dict or None
        Resource that the cluster stores; None if it does not exist.
    """

    __slots__ = ('_declared', '_stored')

    def __init__(
        self, declared: DeclaredResource, stored: dict[str, Any] | None
    ) -> None:
        self._declared = declared
        self._stored = stored

    @property
    def expected_version(self) -> int:
        """Version that the change replaces; 0 creates the resource."""
        if self._declared.version is not None:
            return self._declared.version
        return self._stored['version'] if self._stored else 0

    def is_needed(self) -> bool:
        """Return whether applying the resource would change anything."""
        if self._stored is None:
            return True
        return bool(self._stored['spec'] != self._full_spec())

    def to_wire(self) -> dict[str, Any]:
        """Return the change in the form that the operator API accepts."""
        return {
            'kind': self._declared.kind,
            'name': self._declared.name,
            'expected_version': self.expected_version,
            'spec': self._declared.spec,
        }

    def format_diff(self) -> str:
        """Return the change as a unified diff of the two specs."""
        declared = self._declared
        resource_id = f'{declared.kind}/{declared.name}'
        stored = self._stored or {'spec': {}, 'version': 0}
        lines = difflib.unified_diff(
            _format_lines(stored['spec']),
            _format_lines(self._full_spec()),
            f'{resource_id} (version {stored["version"]})',
            f'{resource_id} (declared)',
            lineterm='',
        )
        return '\n'.join(lines)

    def _full_spec(self) -> dict[str, Any]:
        # The control host adds the same defaults, so a file may omit them.
        schema = SPECS[self._declared.kind]
        return schema.normalize(self._declared.spec, '')[0]


def find_changes(
    client: OperatorClient, declared: Iterable[DeclaredResource]
) -> list[Change]:
    """Return the changes that make the cluster match the declared resources."""
    declared_resources = list(declared)
    stored = {
        (kind, resource['name']): resource
        for kind in sorted({entry.kind for entry in declared_resources})
        for resource in client.list_resources(kind)
    }
    changes = [
        Change(entry, stored.get((entry.kind, entry.name)))
        for entry in declared_resources
    ]
    return [change for change in changes if change.is_needed()]


def _format_lines(spec: dict[str, Any]) -> list[str]:
    if not spec:
        return []
    return json.dumps(spec, indent=2, sort_keys=True).splitlines()
