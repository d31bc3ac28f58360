"""The configuration part of a sync reply."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Final

from apricotcart.codec.packing import unpack
from apricotcart.codec.record import Record
from apricotcart.state.records import Identity, Resource

#: Fields of a resource on the wire; the status is left out.
_FIELDS: Final = ('kind', 'name', 'version', 'revision', 'spec')


class ConfigUpdate(Record):
    """All resources, or what changed between two revisions.

    Attributes
    ----------
    base : int or None
        Revision that the changes start from; None for a snapshot.
    revision : int
        Revision of the configuration after the update.
    resources : sequence of Resource
        Resources as they are at the revision, without status.
    deleted : sequence of (kind, name)
        Resources that no longer exist at the revision.
    """

    __slots__ = ('base', 'revision', 'resources', 'deleted')

    def __init__(
        self,
        *,
        base: int | None,
        revision: int,
        resources: Sequence[Resource] = (),
        deleted: Sequence[Identity] = (),
    ) -> None:
        """Keep the fields."""
        self.base = base
        self.revision = revision
        self.resources = resources
        self.deleted = deleted

    @classmethod
    def from_wire(cls, fields: Mapping[str, Any]) -> ConfigUpdate:
        """Build the update and its resources."""
        return cls(
            base=fields['base'],
            revision=fields['revision'],
            resources=[_resource(wire) for wire in fields['resources']],
            deleted=[(kind, name) for kind, name in fields['deleted']],
        )

    @classmethod
    def from_bytes(cls, blob: bytes) -> ConfigUpdate:
        """Build the update from the packed form of `SyncResponder.packed`.

        Raises
        ------
        CodecError
            If the bytes are no msgpack document.
        """
        return cls.from_wire(unpack(blob))

    def to_wire(self) -> dict[str, Any]:
        """Give the fields; a resource is a list without its status."""
        return {
            'base': self.base,
            'revision': self.revision,
            'resources': [_wire(resource) for resource in self.resources],
            'deleted': [list(identity) for identity in self.deleted],
        }


def _wire(resource: Resource) -> list[Any]:
    return [getattr(resource, name) for name in _FIELDS]


def _resource(wire: Sequence[Any]) -> Resource:
    fields = dict(zip(_FIELDS, wire, strict=True))
    return Resource(status=None, **fields)
