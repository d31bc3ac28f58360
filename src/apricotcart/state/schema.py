"""Validation of mappings against a schema of named fields."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from apricotcart.state.fields import REQUIRED, Field
from apricotcart.state.records import Fault, Identity


class Schema:
    """Named fields, against which a mapping is validated."""

    __slots__ = ('_fields', '_references')

    def __init__(self, fields: Mapping[str, Field]) -> None:
        """Initialize the fields; faults are reported in their order."""
        self._fields = fields
        self._references = tuple(
            (name, field)
            for name, field in fields.items()
            if field.referenced_kind
        )

    def normalize(
        self,
        raw: Any,
        path: str,
    ) -> tuple[dict[str, Any], list[Fault]]:
        """Return the mapping with defaults, and the faults of all fields.

        Parameters
        ----------
        raw : object
            The value to validate.
        path : str
            Path of the mapping, prepended to the name of an invalid field.
        """
        if not isinstance(raw, Mapping):
            return {}, [Fault(path=path, message='must be a mapping')]
        normalized: dict[str, Any] = {}
        faults: list[Fault] = []
        for name, field in self._fields.items():
            normalized[name] = raw.get(name, field.default)
            message = _field_fault(field, normalized[name])
            if message:
                faults.append(_fault_at_path(path, name, message))
        if not raw.keys() <= self._fields.keys():
            faults.extend(
                _fault_at_path(path, str(extra), 'unknown field')
                for extra in raw
                if extra not in self._fields
            )
        return normalized, faults

    def references(self, normalized: Mapping[str, Any]) -> Iterator[Identity]:
        """Yield the resources that a valid mapping refers to."""
        for _, identity in self.references_by_field(normalized):
            yield identity

    def references_by_field(
        self,
        normalized: Mapping[str, Any],
    ) -> Iterator[tuple[str, Identity]]:
        """Yield field and target of each reference; skip missing fields."""
        for name, field in self._references:
            if name not in normalized:
                continue
            for target in field.references(normalized[name]):
                yield name, (str(field.referenced_kind), target)


def _field_fault(field: Field, raw: Any) -> str | None:
    if raw is REQUIRED:
        return 'is required'
    return field.fault(raw)


def _fault_at_path(path: str, name: str, message: str) -> Fault:
    full_path = f'{path}.{name}' if path else name
    return Fault(path=full_path, message=message)
