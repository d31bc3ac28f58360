"""Resource table and the commands on it."""

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

_MAX_LISTED_REFERRERS: Final = 10


class ResourceTable:
    """Handles the commands on resources and keeps the history of events.

    Parameters
    ----------
    max_resources : int
        Maximum number of resources of all kinds.
    max_events : int
        Maximum number of events in the history.
    """

    __slots__ = ('_history', '_max_resources', 'revision', 'store')

    def __init__(self, *, max_resources: int, max_events: int) -> None:
        """Initialize an empty table at revision 0."""
        self._max_resources = max_resources
        self._history = EventHistory(max_events)
        self.store = ResourceStore()
        self.revision = 0

    def events_since(self, revision: int) -> list[Event] | None:
        """Return the later events, or None if the history is too short.

        The result is also None for a revision above the current one, which
        is not from this state.
        """
        if revision > self.revision:
            return None
        return self._history.since(revision)

    def apply(self, changes: Any) -> dict[str, Any]:
        """Apply a batch of changes atomically as one revision.

        A change with an unchanged spec does not change the version.

        Raises
        ------
        InvalidResourceError
            If any field is invalid.
        VersionConflictError
            If a resource does not have the expected version.
        TableFullError
            If the table would exceed its maximum size.
        """
        batch = Batch(self.store)
        batch.parse(changes)
        self._check_capacity(batch.changes)
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
        """Delete a resource that no other resource refers to.

        Raises
        ------
        NotFoundError
            If the resource does not exist.
        VersionConflictError
            If it does not have the expected version.
        ReferencedError
            If other resources refer to it.
        """
        resource = self.store.require(identity)
        _check_version(resource, expected_version)
        self._check_unreferenced(identity)
        self.revision += 1
        self.store.remove(resource)
        self._record_event(
            OP_DELETE, _with_fields(resource, self.revision, spec={})
        )
        return {'revision': self.revision}

    def set_status(self, identity: Identity, status: Any) -> dict[str, Any]:
        """Replace the status of a resource without changing its version.

        Raises
        ------
        NotFoundError
            If the resource does not exist.
        InvalidResourceError
            If the status is not a mapping or is too large.
        """
        resource = self.store.require(identity)
        if not isinstance(status, Mapping):
            raise invalid([Fault(path='status', message='must be a mapping')])
        if len(pack(status)) > MAX_STATUS_BYTES:
            message = f'must be at most {MAX_STATUS_BYTES} bytes when encoded'
            raise invalid([Fault(path='status', message=message)])
        if status != resource.status:
            self.revision += 1
            changed = _with_fields(resource, self.revision, status=status)
            self.store.replace(changed)
            self._record_event(OP_STATUS, changed)
        return {'revision': self.revision}

    def to_wire(self) -> dict[str, Any]:
        """Return the snapshot form of the table."""
        return {
            'revision': self.revision,
            'history': self._history.to_wire(),
            'resources': [resource.to_wire() for resource in self.store],
        }

    def load(self, wire: Mapping[str, Any]) -> None:
        """Load the output of ``to_wire`` into an empty table."""
        self.revision = wire['revision']
        self._history.load(wire['history'])
        self.store.load(wire['resources'])

    def _put_all(self, changes: list[Change]) -> None:
        if not changes:
            return
        self.revision += 1
        # Unlink all old specs first, since two keys may swap their secrets.
        for old in map(self._current_resource, changes):
            if old:
                self.store.unlink(old)
        events = [
            Event(op=OP_PUT, resource=self._put(change)) for change in changes
        ]
        self._history.add(events)

    def _put(self, change: Change) -> Resource:
        old = self._current_resource(change)
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
        old = self._current_resource(change)
        return old is None or old.spec != change.spec

    def _current_resource(self, change: Change) -> Resource | None:
        return self.store.get(change.kind, change.name)

    def _record_event(self, op: str, resource: Resource) -> None:
        self._history.add([Event(op=op, resource=resource)])

    def _check_unreferenced(self, identity: Identity) -> None:
        referrers = self.store.referrers(identity)[:_MAX_LISTED_REFERRERS]
        if referrers:
            faults = [
                {'path': f'{kind}/{name}', 'message': 'refers to the resource'}
                for kind, name in referrers
            ]
            raise ReferencedError(
                'other resources still refer to the resource', faults=faults
            )

    def _check_capacity(self, changes: Iterable[Identity]) -> None:
        added = sum(not self.store.version(identity) for identity in changes)
        if added and len(self.store) + added > self._max_resources:
            raise TableFullError(
                f'more than {self._max_resources} resources of all kinds'
            )


def _check_version(resource: Resource, expected: int | None) -> None:
    if expected is not None and expected != resource.version:
        message = (
            f'is {expected}, but the current version is {resource.version}'
        )
        raise conflict([Fault(path='expected_version', message=message)])


def _with_fields(
    resource: Resource,
    revision: int,
    **fields: Any,
) -> Resource:
    wire = {**resource.to_wire(), 'revision': revision, **fields}
    return Resource.from_wire(wire)
