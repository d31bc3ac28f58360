"""Fields that refer to other resources by name."""

from __future__ import annotations

from typing import Any

from apricotcart.state.fields import NAME_PATTERN, REQUIRED, Field, Text


class Reference(Text):
    """The name of a resource of one kind."""

    __slots__ = ('_optional',)

    def __init__(self, kind: str, *, optional: bool = False) -> None:
        """Initialize the kind; an optional reference may be None."""
        super().__init__(
            pattern=NAME_PATTERN,
            default=None if optional else REQUIRED,
            referenced_kind=kind,
        )
        self._optional = optional

    def fault(self, raw: Any) -> str | None:
        """Check that the value is a valid name."""
        if raw is None and self._optional:
            return None
        return super().fault(raw)


class ReferenceList(Field):
    """Distinct names of resources of one kind."""

    __slots__ = ('_max_names',)

    def __init__(self, kind: str, *, max_names: int) -> None:
        super().__init__(default=[], referenced_kind=kind)
        self._max_names = max_names

    def fault(self, raw: Any) -> str | None:
        """Check the type, the count, the names and their uniqueness."""
        if not isinstance(raw, list):
            return 'must be a list'
        if len(raw) > self._max_names:
            return f'must have at most {self._max_names} names'
        if not all(_is_name(name) for name in raw):
            return 'must contain valid names only'
        if len(set(raw)) != len(raw):
            return 'must not repeat a name'
        return None

    def references(self, raw: Any) -> list[str]:
        """Return the names."""
        return list(raw)


def _is_name(raw: Any) -> bool:
    return isinstance(raw, str) and bool(NAME_PATTERN.fullmatch(raw))
