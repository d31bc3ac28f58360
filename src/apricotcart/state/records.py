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
    """One resource; replaced, never altered, on each change.

    Attributes
    ----------
    version : int
        Revision of the last change of the spec. It is unique over all time,
        so a deleted and recreated resource never has an earlier version.
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
        """Keep the fields."""
        self.kind = kind
        self.name = name
        self.version = version
        self.revision = revision
        self.spec = spec
        self.status = status

    @property
    def identity(self) -> Identity:
        """Give kind and name."""
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
        """Keep the fields."""
        self.op = op
        self.resource = resource

    @classmethod
    def from_wire(cls, fields: Mapping[str, Any]) -> Event:
        """Build the event and its resource."""
        return cls(
            op=fields['op'],
            resource=Resource.from_wire(fields['resource']),
        )

    @property
    def revision(self) -> int:
        """Give the revision of the change."""
        return self.resource.revision

    def to_wire(self) -> dict[str, Any]:
        """Give the fields as a mapping."""
        return {'op': self.op, 'resource': self.resource.to_wire()}


class Fault(Record):
    """One invalid field and what is wrong with it."""

    __slots__ = ('path', 'message')

    def __init__(self, *, path: str, message: str) -> None:
        """Keep the fields."""
        self.path = path
        self.message = message
