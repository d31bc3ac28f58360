"""Differences between declared resources and those a cluster holds."""

from __future__ import annotations

import difflib
import json
from collections.abc import Iterable
from typing import Any

from apricotcart.commands.operator_client import OperatorClient
from apricotcart.commands.resources_file import DeclaredResource
from apricotcart.state.specs import SPECS


class Change:
    """A declared resource that differs from the one the cluster holds.

    Parameters
    ----------
    declared : DeclaredResource
        What it shall be.
    held : dict or None
        The resource that the cluster holds, if it exists.
    """

    __slots__ = ('_declared', '_held')

    def __init__(
        self, declared: DeclaredResource, held: dict[str, Any] | None
    ) -> None:
        """Keep both sides."""
        self._declared = declared
        self._held = held

    @property
    def expected_version(self) -> int:
        """The version that the change replaces; 0 creates the resource."""
        if self._declared.version is not None:
            return self._declared.version
        return self._held['version'] if self._held else 0

    def is_needed(self) -> bool:
        """Tell whether applying it would change anything."""
        if self._held is None:
            return True
        return bool(self._held['spec'] != self._full_spec())

    def to_wire(self) -> dict[str, Any]:
        """Give the change as the operator API takes it."""
        return {
            'kind': self._declared.kind,
            'name': self._declared.name,
            'expected_version': self.expected_version,
            'spec': self._declared.spec,
        }

    def text(self) -> str:
        """Show the change as a unified diff of the two specs."""
        declared = self._declared
        title = f'{declared.kind}/{declared.name}'
        held = self._held or {'spec': {}, 'version': 0}
        lines = difflib.unified_diff(
            _lines(held['spec']),
            _lines(self._full_spec()),
            f'{title} (version {held["version"]})',
            f'{title} (declared)',
            lineterm='',
        )
        return '\n'.join(lines)

    def _full_spec(self) -> dict[str, Any]:
        # The control host fills in the same defaults, so a file need not
        # repeat them.
        schema = SPECS[self._declared.kind]
        return schema.normalize(self._declared.spec, '')[0]


def needed_changes(
    client: OperatorClient, declared: Iterable[DeclaredResource]
) -> list[Change]:
    """Compare declared resources with those that the cluster holds."""
    wanted = list(declared)
    held = {
        (kind, resource['name']): resource
        for kind in sorted({entry.kind for entry in wanted})
        for resource in client.list_resources(kind)
    }
    changes = [
        Change(entry, held.get((entry.kind, entry.name))) for entry in wanted
    ]
    return [change for change in changes if change.is_needed()]


def _lines(spec: dict[str, Any]) -> list[str]:
    if not spec:
        return []
    return json.dumps(spec, indent=2, sort_keys=True).splitlines()
