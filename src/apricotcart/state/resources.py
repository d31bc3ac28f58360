"""The table of resources."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Final

from apricotcart.codec.packing import pack
from apricotcart.state.batch import Batch
from apricotcart.state.batch_rules import Change
from apricotcart.state.errors import ReferencedError, TableFullError
from apricotcart.state.history import EventHistory
from apricotcart.state.records import (
    OP_DELETE,
    OP_PUT,
    OP_STATUS,
    Event,
    Fault,
    Identity,
    Resource,
)
from apricotcart.state.replies import conflict, invalid
from apricotcart.state.specs import MAX_STATUS_BYTES
from apricotcart.state.store import ResourceStore

_SHOWN_REFERRERS: Final = 10


class ResourceTable:
    """The commands on resources, and the history of changes.

    Parameters
    ----------
    max_resources : int
        Bound on the resources of all kinds together.
    max_events : int
        Bound on the history.
    """

    __slots__ = ('_history', '_max_resources', 'revision', 'store')

    def __init__(self, *, max_resources: int, max_events: int) -> None:
        """Start empty at revision 0."""
        self._max_resources = max_resources
        self._history = EventHistory(max_events)
        self.store = ResourceStore()
        self.revision = 0

    def events_since(self, revision: int) -> list[Event] | None:
        """Give the later events, None if the history is too short.

        A revision above the current one gives None as well: it is not from
        this state.
        """
        if revision > self.revision:
            return None
        return self._history.since(revision)

    def apply(self, changes: Any) -> dict[str, Any]:
        """Apply a batch of changes as one revision, or none of it.

        A change that leaves the spec as it is keeps its version.

        Raises
        ------
        InvalidResourceError
            If any field is invalid.
        VersionConflictError
            If a resource has another version than expected.
        TableFullError
            If there would be too many resources.
        """
        batch = Batch(self.store)
        batch.read(changes)
        self._check_room(batch.changes)
        self._put_all(
            [
                change
                for change in batch.changes.values()
                if self._differs(change)
            ],
        )
        versions = [
            {
                'kind': kind,
                'name': name,
                'version': self.store.version((kind, name)),
            }
            for kind, name in batch.changes
        ]
        return {'revision': self.revision, 'versions': versions}

    def delete(
        self,
        identity: Identity,
        expected_version: int | None,
    ) -> dict[str, Any]:
        """Delete a resource that no other refers to.

        Raises
        ------
        NotFoundError
            If there is no such resource.
        VersionConflictError
            If it has another version than expected.
        ReferencedError
            If others refer to it.
        """
        resource = self.store.existing(identity)
        _check_version(resource, expected_version)
        self._check_unreferenced(identity)
        self.revision += 1
        self.store.remove(resource)
        self._record(OP_DELETE, _altered(resource, self.revision, spec={}))
        return {'revision': self.revision}

    def set_status(self, identity: Identity, status: Any) -> dict[str, Any]:
        """Replace the status of a resource; its version stays.

        Raises
        ------
        NotFoundError
            If there is no such resource.
        InvalidResourceError
            If the status is no mapping or too large.
        """
        resource = self.store.existing(identity)
        if not isinstance(status, Mapping):
            raise invalid([Fault(path='status', message='must be a mapping')])
        if len(pack(status)) > MAX_STATUS_BYTES:
            message = f'must be at most {MAX_STATUS_BYTES} bytes encoded'
            raise invalid([Fault(path='status', message=message)])
        if status != resource.status:
            self.revision += 1
            changed = _altered(resource, self.revision, status=status)
            self.store.replace(changed)
            self._record(OP_STATUS, changed)
        return {'revision': self.revision}

    def to_wire(self) -> dict[str, Any]:
        """Give the table as a mapping."""
        return {
            'revision': self.revision,
            'history': self._history.to_wire(),
            'resources': [resource.to_wire() for resource in self.store],
        }

    def load(self, wire: Mapping[str, Any]) -> None:
        """Fill an empty table from ``to_wire``."""
        self.revision = wire['revision']
        self._history.load(wire['history'])
        self.store.load(wire['resources'])

    def _put_all(self, changes: list[Change]) -> None:
        if not changes:
            return
        self.revision += 1
        # Unlinks all old specs first, as two keys may swap their secrets.
        for old in map(self._current, changes):
            if old:
                self.store.unlink(old)
        events = [
            Event(op=OP_PUT, resource=self._put(change)) for change in changes
        ]
        self._history.add(events)

    def _put(self, change: Change) -> Resource:
        old = self._current(change)
        resource = Resource(
            kind=change.kind,
            name=change.name,
            version=self.revision,
            revision=self.revision,
            spec=change.spec,
            status=old.status if old else None,
        )
        self.store.link(resource)
        return resource

    def _differs(self, change: Change) -> bool:
        old = self._current(change)
        return old is None or old.spec != change.spec

    def _current(self, change: Change) -> Resource | None:
        return self.store.get(change.kind, change.name)

    def _record(self, op: str, resource: Resource) -> None:
        self._history.add([Event(op=op, resource=resource)])

    def _check_unreferenced(self, identity: Identity) -> None:
        referrers = self.store.referrers(identity)[:_SHOWN_REFERRERS]
        if referrers:
            faults = [
                {'path': f'{kind}/{name}', 'message': 'refers to it'}
                for kind, name in referrers
            ]
            raise ReferencedError('still referred to', faults=faults)

    def _check_room(self, changes: Iterable[Identity]) -> None:
        added = sum(not self.store.version(identity) for identity in changes)
        if added and len(self.store) + added > self._max_resources:
            raise TableFullError('too many resources')


def _check_version(resource: Resource, expected: int | None) -> None:
    if expected is not None and expected != resource.version:
        message = f'is {expected}, but the version is {resource.version}'
        raise conflict([Fault(path='expected_version', message=message)])


def _altered(
    resource: Resource,
    revision: int,
    **fields: Any,
) -> Resource:
    full = {**resource.to_wire(), 'revision': revision, **fields}
    return Resource.from_wire(full)
