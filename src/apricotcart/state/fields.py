"""Checks of single fields of specs and commands."""

from __future__ import annotations

import ipaddress
import math
import re
from abc import ABC, abstractmethod
from typing import Any, Final
from urllib.parse import urlsplit

#: Marks a field without a default.
REQUIRED: Final = object()

#: Names appear as one path segment of the operators' API.
NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:-]{0,127}')
SHA256_PATTERN: Final = re.compile('[0-9a-f]{64}')
#: The largest integer that JSON readers keep exactly.
MAX_INTEGER: Final = 9_007_199_254_740_992


class Field(ABC):
    """One field of a spec or command.

    Parameters
    ----------
    default : object
        Value of an absent field; ``REQUIRED`` if it may not be absent.
    ref_kind : str or None
        Kind of the resource that the field names, if it names any.
    """

    __slots__ = ('default', 'ref_kind')

    def __init__(
        self,
        *,
        default: Any = REQUIRED,
        ref_kind: str | None = None,
    ) -> None:
        """Keep the default and the referenced kind."""
        self.default = default
        self.ref_kind = ref_kind

    @abstractmethod
    def fault(self, given: Any) -> str | None:
        """Say what is wrong with a value, or None if it is valid."""

    def references(self, given: Any) -> list[str]:
        """Give the names that a valid value refers to."""
        return []


class Number(Field):
    """A finite number within bounds."""

    __slots__ = ('_low', '_high', '_above')

    def __init__(
        self,
        *,
        low: float = 0,
        high: float = MAX_INTEGER,
        above: bool = False,
        default: Any = REQUIRED,
    ) -> None:
        """Keep the bounds; ``above`` excludes the lower one."""
        super().__init__(default=default)
        self._low = low
        self._high = high
        self._above = above

    def fault(self, given: Any) -> str | None:
        """Check type, finiteness and bounds."""
        if not self._has_type(given):
            return self._type_message()
        if given > self._high:
            return f'must be at most {self._high}'
        if given < self._low:
            return f'must be at least {self._low}'
        if self._above and given == self._low:
            return f'must be greater than {self._low}'
        return None

    def _has_type(self, given: Any) -> bool:
        if isinstance(given, bool) or not isinstance(given, (int, float)):
            return False
        return isinstance(given, int) or math.isfinite(given)

    def _type_message(self) -> str:
        return 'must be a finite number'


class Integer(Number):
    """A whole number within bounds."""

    __slots__ = ()

    def _has_type(self, given: Any) -> bool:
        return isinstance(given, int) and not isinstance(given, bool)

    def _type_message(self) -> str:
        return 'must be an integer'


class Flag(Field):
    """True or false."""

    __slots__ = ()

    def fault(self, given: Any) -> str | None:
        """Check the type."""
        return None if isinstance(given, bool) else 'must be true or false'


class Choice(Field):
    """One of several words."""

    __slots__ = ('_words',)

    def __init__(self, *words: str) -> None:
        """Keep the words."""
        super().__init__()
        self._words = words

    def fault(self, given: Any) -> str | None:
        """Check that the value is one of the words."""
        if isinstance(given, str) and given in self._words:
            return None
        return 'must be one of {0}'.format(', '.join(self._words))


class Text(Field):
    """A string that matches a pattern or is bounded in length."""

    __slots__ = ('_max_chars', '_pattern')

    def __init__(
        self,
        *,
        pattern: re.Pattern[str] | None = None,
        max_chars: int = 255,
        default: Any = REQUIRED,
        ref_kind: str | None = None,
    ) -> None:
        """Keep the pattern and the length."""
        super().__init__(default=default, ref_kind=ref_kind)
        self._pattern = pattern
        self._max_chars = max_chars

    def fault(self, given: Any) -> str | None:
        """Check type, length and pattern."""
        if not isinstance(given, str):
            return 'must be a string'
        if not 0 < len(given) <= self._max_chars:
            return f'must have 1 to {self._max_chars} characters'
        if self._pattern and not self._pattern.fullmatch(given):
            return 'must match {0}'.format(self._pattern.pattern)
        return None

    def references(self, given: Any) -> list[str]:
        """Give the name itself, if the field refers to a resource."""
        return [given] if self.ref_kind and given is not None else []


class Url(Field):
    """The base URL of an endpoint: scheme, IP address and port."""

    __slots__ = ()

    def fault(self, given: Any) -> str | None:
        """Check the parts; name resolution is not used between hosts."""
        if isinstance(given, str) and _is_base_url(given):
            return None
        return 'must be http:// or https://, an IP address and a port'


class Blob(Field):
    """Bytes."""

    __slots__ = ()

    def fault(self, given: Any) -> str | None:
        """Check the type."""
        return None if isinstance(given, bytes) else 'must be bytes'


def _is_base_url(given: str) -> bool:
    try:
        return _has_base_parts(given)
    except ValueError:
        return False


def _has_base_parts(given: str) -> bool:
    parts = urlsplit(given)
    ipaddress.ip_address(parts.hostname or '')
    if parts.scheme not in {'http', 'https'} or not parts.port:
        return False
    extra = (parts.path, parts.query, parts.fragment, parts.username)
    return not any(extra)
