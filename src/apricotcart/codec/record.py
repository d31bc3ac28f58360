"""Slotted records and their wire form."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Self


class Record:
    """Base of plain slotted classes that travel between processes.

    A subclass lists its fields in ``__slots__`` and takes them as
    keyword-only arguments of the same names.
    """

    __slots__: tuple[str, ...] = ()

    def __eq__(self, other: object) -> bool:
        """Compare by class and fields."""
        if not isinstance(other, self.__class__):
            return NotImplemented
        return self.to_wire() == other.to_wire()

    def __repr__(self) -> str:
        """Show the class and its fields."""
        return f'{type(self).__name__}({self.to_wire()!r})'

    __hash__ = None  # type: ignore[assignment]

    @classmethod
    def from_wire(cls, fields: Mapping[str, Any]) -> Self:
        """Build the record from its wire form."""
        return cls(**fields)

    def to_wire(self) -> dict[str, Any]:
        """Give the fields as a mapping that msgpack can encode."""
        return {name: getattr(self, name) for name in self.__slots__}
