"""Typed reading of decoded JSON that collects every fault."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

_REQUIRED: Final = object()


class FieldReader:
    """Reads typed fields of a JSON object.

    A fault does not raise an error: it is recorded and the field reads as
    empty, so that all faults of a document are found in one pass.

    Parameters
    ----------
    fields : Any
        The decoded object.
    path : str
        Path of the object in the document; empty for the document itself.
    faults : list of str or None
        List that receives the faults; readers of nested objects share it.
    """

    __slots__ = ('_fields', '_path', 'faults')

    def __init__(
        self,
        fields: Any,
        path: str,
        faults: list[str] | None = None,
    ) -> None:
        """Record a fault if the value is not an object."""
        self.faults: list[str] = [] if faults is None else faults
        self._path = path
        self._fields: Mapping[str, Any] = {}
        if isinstance(fields, dict):
            self._fields = fields
        else:
            location = path or 'the document'
            self.faults.append(f'{location} is not an object')

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._fields.get(name) is not None

    def add_fault(self, name: str, message: str) -> None:
        """Record a fault of a field."""
        location = self._location(name)
        self.faults.append(f'{location}: {message}')

    def text(self, name: str, default: Any = _REQUIRED) -> str:
        """Return a string."""
        return str(self._read(name, default, str, ''))

    def strings(self, name: str) -> list[str]:
        """Return a list of strings; an empty list if it is missing."""
        strings = self._read(name, [], list, [])
        if all(isinstance(entry, str) for entry in strings):
            return list(strings)
        self.add_fault(name, 'is not a list of strings')
        return []

    def integer(self, name: str, default: Any = _REQUIRED) -> int:
        """Return an integer."""
        return int(self._read(name, default, int, 0))

    def optional_integer(self, name: str) -> int | None:
        """Return an integer, or None if it is missing."""
        return self.integer(name) if self.has(name) else None

    def number(self, name: str, default: Any = _REQUIRED) -> float:
        """Return a number."""
        return float(self._read(name, default, (int, float), 0))

    def flag(self, name: str) -> bool:
        """Return whether a field is true; a missing one is false."""
        return self._fields.get(name) is True

    def numbers(self, name: str) -> dict[str, float]:
        """Return the numbers of a nested object by name."""
        reader = self.table(name)
        return {key: reader.number(key) for key in reader.names()}

    def names(self) -> list[str]:
        """Return the names of all fields."""
        return list(self._fields)

    def table(self, name: str) -> FieldReader:
        """Return a reader of a nested object; a missing one reads as empty."""
        return FieldReader(
            self._fields.get(name, {}),
            self._location(name),
            self.faults,
        )

    def entries(self, name: str) -> list[FieldReader]:
        """Return readers of the objects of a list."""
        entries = self._read(name, _REQUIRED, list, [])
        return [
            FieldReader(entry, f'{self._location(name)}[{index}]', self.faults)
            for index, entry in enumerate(entries)
        ]

    def _location(self, name: str) -> str:
        return f'{self._path}.{name}' if self._path else name

    def _read(
        self,
        name: str,
        default: Any,
        expected_type: Any,
        fallback: Any,
    ) -> Any:
        raw = self._fields.get(name)
        if raw is None and default is not _REQUIRED:
            return default
        # JSON booleans are integers in Python.
        is_boolean = isinstance(raw, bool) and expected_type is not bool
        if not isinstance(raw, expected_type) or is_boolean:
            self.add_fault(
                name, 'is missing' if raw is None else 'has the wrong type'
            )
            return fallback
        return raw
