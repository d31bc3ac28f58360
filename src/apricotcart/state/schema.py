"""Checks of mappings against named fields."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from apricotcart.state.fields import REQUIRED, Field
from apricotcart.state.records import Fault, Identity


class Schema:
    """Named fields, and the checks of a mapping against them."""

    __slots__ = ('_fields', '_references')

    def __init__(self, fields: Mapping[str, Field]) -> None:
        """Keep the fields; the order is the order of the faults."""
        self._fields = fields
        self._references = tuple(
            (name, field) for name, field in fields.items() if field.ref_kind
        )

    def normalize(
        self,
        given: Any,
        path: str,
    ) -> tuple[dict[str, Any], list[Fault]]:
        """Fill in defaults and list the faults of all fields.

        Parameters
        ----------
        given : object
            What the caller sent.
        path : str
            Path of the mapping, put before the name of a faulty field.
        """
        if not isinstance(given, Mapping):
            return {}, [Fault(path=path, message='must be a mapping')]
        full: dict[str, Any] = {}
        faults: list[Fault] = []
        for name, field in self._fields.items():
            full[name] = given.get(name, field.default)
            message = _fault_of(field, full[name])
            if message:
                faults.append(_fault_at(path, name, message))
        if not given.keys() <= self._fields.keys():
            faults.extend(
                _fault_at(path, str(extra), 'unknown field')
                for extra in given
                if extra not in self._fields
            )
        return full, faults

    def references(self, full: Mapping[str, Any]) -> Iterator[Identity]:
        """Give the resources that a valid mapping names."""
        for _, identity in self.references_by_field(full):
            yield identity

    def references_by_field(
        self,
        full: Mapping[str, Any],
    ) -> Iterator[tuple[str, Identity]]:
        """Give field and target of each reference; fields may be missing."""
        for name, field in self._references:
            if name not in full:
                continue
            for target in field.references(full[name]):
                yield name, (str(field.ref_kind), target)


def _fault_of(field: Field, given: Any) -> str | None:
    if given is REQUIRED:
        return 'is required'
    return field.fault(given)


def _fault_at(path: str, name: str, message: str) -> Fault:
    full_path = f'{path}.{name}' if path else name
    return Fault(path=full_path, message=message)
