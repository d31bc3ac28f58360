"""Base class of records and their wire format."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Self


class Record:
    """Base class of records that are sent between processes or stored.

    A subclass lists its fields in ``__slots__``, and its ``__init__`` has
    keyword-only arguments of the same names.
    """

    __slots__: tuple[str, ...] = ()

    def __eq__(self, other: object) -> bool:
        """Return whether class and fields are equal."""
        if not isinstance(other, self.__class__):
            return NotImplemented
        return self.to_wire() == other.to_wire()

    def __repr__(self) -> str:
        """Return the class name and the fields."""
        return f'{type(self).__name__}({self.to_wire()!r})'

    __hash__ = None  # type: ignore[assignment]

    @classmethod
    def from_wire(cls, fields: Mapping[str, Any]) -> Self:
        """Create the record from its wire format.

        Fields that this version does not know are ignored: they may come
        from a process of a newer version.
        """
        names = cls._field_names()
        return cls(**{name: fields[name] for name in names if name in fields})

    def to_wire(self) -> dict[str, Any]:
        """Return the fields as a mapping that msgpack can encode."""
        return {name: getattr(self, name) for name in self.__slots__}

    @classmethod
    def _field_names(cls) -> list[str]:
        """Return the names of all fields, also those of base classes."""
        return [
            name
            for base in cls.__mro__
            for name in getattr(base, '__slots__', ())
        ]
