"""Records of the replicated state."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from apricotcart.codec.record import Record

OP_PUT: Final = 'put'
OP_DELETE: Final = 'delete'
OP_STATUS: Final = 'status'

#: Kind and name of a resource.
Identity = tuple[str, str]


class Resource(Record):
    """One resource; immutable, and replaced on each change.

    Attributes
    ----------
    version : int
        Revision of the last change of the spec. Revisions are never reused,
        so a recreated resource never has a version of a deleted one.
    revision : int
        Revision of the last change of the spec or the status.
    """

    __slots__ = ('kind', 'name', 'version', 'revision', 'spec', 'status')

    def __init__(
        self,
        *,
        kind: str,
        name: str,
        version: int,
        revision: int,
        spec: Mapping[str, Any],
        status: Mapping[str, Any] | None,
    ) -> None:
        self.kind = kind
        self.name = name
        self.version = version
        self.revision = revision
        self.spec = spec
        self.status = status

    @property
    def identity(self) -> Identity:
        """Kind and name."""
        return self.kind, self.name


class Event(Record):
    """One change of one resource.

    Attributes
    ----------
    op : str
        ``put``, ``delete`` or ``status``.
    resource : Resource
        The resource after the change; a deleted one has an empty spec.
    """

    __slots__ = ('op', 'resource')

    def __init__(self, *, op: str, resource: Resource) -> None:
        self.op = op
        self.resource = resource

    @classmethod
    def from_wire(cls, fields: Mapping[str, Any]) -> Event:
        """Decode an event and its resource."""
        return cls(
            op=fields['op'],
            resource=Resource.from_wire(fields['resource']),
        )

    @property
    def revision(self) -> int:
        """Revision of the change."""
        return self.resource.revision

    def to_wire(self) -> dict[str, Any]:
        """Return the fields as a mapping."""
        return {'op': self.op, 'resource': self.resource.to_wire()}


class Fault(Record):
    """Validation error of one field: its path and a message."""

    __slots__ = ('path', 'message')

    def __init__(self, *, path: str, message: str) -> None:
        self.path = path
        self.message = message
