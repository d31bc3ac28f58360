"""Validation of single fields of specs and commands."""

from __future__ import annotations

import ipaddress
import math
import re
from abc import ABC, abstractmethod
from typing import Any, Final
from urllib.parse import urlsplit

#: Marks a field that has no default.
REQUIRED: Final = object()

#: A name is one path segment of a URL in the operators' API.
NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:-]{0,127}')
SHA256_PATTERN: Final = re.compile('[0-9a-f]{64}')
#: 2**53, up to which JSON parsers that use doubles keep integers exact.
MAX_INTEGER: Final = 9_007_199_254_740_992


class Field(ABC):
    """Base class of the fields of specs and commands.

    Parameters
    ----------
    default : object
        Value of a missing field; ``REQUIRED`` if the field is mandatory.
    referenced_kind : str or None
        Kind of the resources that the field refers to, if any.
    """

    __slots__ = ('default', 'referenced_kind')

    def __init__(
        self,
        *,
        default: Any = REQUIRED,
        referenced_kind: str | None = None,
    ) -> None:
        self.default = default
        self.referenced_kind = referenced_kind

    @abstractmethod
    def fault(self, raw: Any) -> str | None:
        """Return an error message for a value, or None if it is valid."""

    def references(self, raw: Any) -> list[str]:
        """Return the names of the resources that a valid value refers to."""
        return []


class Number(Field):
    """A finite number within bounds."""

    __slots__ = ('_low', '_high', '_excludes_low')

    def __init__(
        self,
        *,
        low: float = 0,
        high: float = MAX_INTEGER,
        excludes_low: bool = False,
        default: Any = REQUIRED,
    ) -> None:
        """Initialize the bounds; ``excludes_low`` excludes the lower one."""
        super().__init__(default=default)
        self._low = low
        self._high = high
        self._excludes_low = excludes_low

    def fault(self, raw: Any) -> str | None:
        """Check the type, finiteness and bounds."""
        if not self._has_type(raw):
            return self._type_message()
        if raw > self._high:
            return f'must be at most {self._high}'
        if raw < self._low:
            return f'must be at least {self._low}'
        if self._excludes_low and raw == self._low:
            return f'must be greater than {self._low}'
        return None

    def _has_type(self, raw: Any) -> bool:
        if isinstance(raw, bool) or not isinstance(raw, (int, float)):
            return False
        return isinstance(raw, int) or math.isfinite(raw)

    def _type_message(self) -> str:
        return 'must be a finite number'


class Integer(Number):
    """An integer within bounds."""

    __slots__ = ()

    def _has_type(self, raw: Any) -> bool:
        return isinstance(raw, int) and not isinstance(raw, bool)

    def _type_message(self) -> str:
        return 'must be an integer'


class Flag(Field):
    """A boolean."""

    __slots__ = ()

    def fault(self, raw: Any) -> str | None:
        """Check the type."""
        return None if isinstance(raw, bool) else 'must be true or false'


class Choice(Field):
    """One of several strings."""

    __slots__ = ('_choices',)

    def __init__(self, *choices: str) -> None:
        super().__init__()
        self._choices = choices

    def fault(self, raw: Any) -> str | None:
        """Check that the value is one of the choices."""
        if isinstance(raw, str) and raw in self._choices:
            return None
        return 'must be one of {0}'.format(', '.join(self._choices))


class Text(Field):
    """A string that matches a pattern or is bounded in length."""

    __slots__ = ('_max_chars', '_pattern')

    def __init__(
        self,
        *,
        pattern: re.Pattern[str] | None = None,
        max_chars: int = 255,
        default: Any = REQUIRED,
        referenced_kind: str | None = None,
    ) -> None:
        super().__init__(default=default, referenced_kind=referenced_kind)
        self._pattern = pattern
        self._max_chars = max_chars

    def fault(self, raw: Any) -> str | None:
        """Check the type, length and pattern."""
        if not isinstance(raw, str):
            return 'must be a string'
        if not 0 < len(raw) <= self._max_chars:
            return f'must have 1 to {self._max_chars} characters'
        if self._pattern and not self._pattern.fullmatch(raw):
            return 'must match {0}'.format(self._pattern.pattern)
        return None

    def references(self, raw: Any) -> list[str]:
        """Return the value, if the field refers to a resource."""
        return [raw] if self.referenced_kind and raw is not None else []


class Url(Field):
    """Base URL of an endpoint: scheme, IP address and port."""

    __slots__ = ()

    def fault(self, raw: Any) -> str | None:
        """Check the parts; an IP is required, since hosts resolve no names."""
        if isinstance(raw, str) and _is_base_url(raw):
            return None
        return 'must consist of http:// or https://, an IP address and a port'


class Blob(Field):
    """A byte string."""

    __slots__ = ()

    def fault(self, raw: Any) -> str | None:
        """Check the type."""
        return None if isinstance(raw, bytes) else 'must be bytes'


def _is_base_url(raw: str) -> bool:
    try:
        return _has_base_url_parts(raw)
    except ValueError:
        return False


def _has_base_url_parts(raw: str) -> bool:
    parts = urlsplit(raw)
    ipaddress.ip_address(parts.hostname or '')
    if parts.scheme not in {'http', 'https'} or not parts.port:
        return False
    extra = (parts.path, parts.query, parts.fragment, parts.username)
    return not any(extra)
