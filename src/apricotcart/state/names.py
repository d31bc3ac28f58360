"""Fields that name other resources."""

from __future__ import annotations

from typing import Any

from apricotcart.state.fields import NAME_PATTERN, REQUIRED, Field, Text


class Reference(Text):
    """The name of a resource of a given kind."""

    __slots__ = ('_optional',)

    def __init__(self, kind: str, *, optional: bool = False) -> None:
        """Keep the kind; an optional reference may be None."""
        super().__init__(
            pattern=NAME_PATTERN,
            default=None if optional else REQUIRED,
            ref_kind=kind,
        )
        self._optional = optional

    def fault(self, given: Any) -> str | None:
        """Check that the value is a name."""
        if given is None and self._optional:
            return None
        return super().fault(given)


class ReferenceList(Field):
    """Distinct names of resources of one kind."""

    __slots__ = ('_max_names',)

    def __init__(self, kind: str, *, max_names: int) -> None:
        """Keep the kind and the largest count."""
        super().__init__(default=[], ref_kind=kind)
        self._max_names = max_names

    def fault(self, given: Any) -> str | None:
        """Check type, count, names and that none recurs."""
        if not isinstance(given, list):
            return 'must be a list'
        if len(given) > self._max_names:
            return f'must have at most {self._max_names} names'
        if not all(_is_name(name) for name in given):
            return 'must hold names only'
        if len(set(given)) != len(given):
            return 'must not repeat a name'
        return None

    def references(self, given: Any) -> list[str]:
        """Give the names."""
        return list(given)


def _is_name(given: Any) -> bool:
    return isinstance(given, str) and bool(NAME_PATTERN.fullmatch(given))
