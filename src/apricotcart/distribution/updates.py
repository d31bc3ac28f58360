"""The configuration update in a sync reply."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Final

from apricotcart.codec.packing import unpack
from apricotcart.codec.record import Record
from apricotcart.state.records import Identity, Resource

#: Fields of a resource on the wire, which exclude its status.
_FIELDS: Final = ('kind', 'name', 'version', 'revision', 'spec')


class ConfigUpdate(Record):
    """A snapshot of all resources, or the changes between two revisions.

    Attributes
    ----------
    base : int or None
        Revision that the changes start from; None for a snapshot.
    revision : int
        Revision of the configuration after the update.
    resources : sequence of Resource
        Resources at the revision, without status.
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
        self.base = base
        self.revision = revision
        self.resources = resources
        self.deleted = deleted

    @classmethod
    def from_wire(cls, fields: Mapping[str, Any]) -> ConfigUpdate:
        """Return the update and its resources."""
        return cls(
            base=fields['base'],
            revision=fields['revision'],
            resources=[
                _from_wire_fields(wire_fields)
                for wire_fields in fields['resources']
            ],
            deleted=[(kind, name) for kind, name in fields['deleted']],
        )

    @classmethod
    def from_bytes(cls, blob: bytes) -> ConfigUpdate:
        """Return the update that `SyncResponder.packed_update` packed.

        Raises
        ------
        CodecError
            If the bytes are not a msgpack document.
        """
        return cls.from_wire(unpack(blob))

    def to_wire(self) -> dict[str, Any]:
        """Return the fields; each resource is a list without its status."""
        return {
            'base': self.base,
            'revision': self.revision,
            'resources': [
                _to_wire_fields(resource) for resource in self.resources
            ],
            'deleted': [list(identity) for identity in self.deleted],
        }


def _to_wire_fields(resource: Resource) -> list[Any]:
    return [getattr(resource, name) for name in _FIELDS]


def _from_wire_fields(wire_fields: Sequence[Any]) -> Resource:
    fields = dict(zip(_FIELDS, wire_fields, strict=True))
    return Resource(status=None, **fields)
