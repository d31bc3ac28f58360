"""Kinds of setting, which parse the text of a key into a value."""

from __future__ import annotations

import json
import math
import os
import re
from abc import ABC, abstractmethod
from pathlib import Path
from typing import Any

from apricotcart.errors.tree import ApricotcartError

_NAME_PATTERN = re.compile('[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?')
_MAX_PORT = 65535


class FieldError(ApricotcartError):
    """The text of a setting is not valid for its kind."""

    code = 'settings_field'
    http_status = 400


class Kind(ABC):
    """Base class of parsers of the text of a setting."""

    __slots__ = ()

    @abstractmethod
    def parse(self, text: str, folder: Path) -> Any:
        """Return the value of the text.

        Parameters
        ----------
        text : str
            The text after the equals sign, stripped and not empty.
        folder : Path
            Folder of the settings file, against which paths are resolved.

        Raises
        ------
        FieldError
            If the text is not valid for this kind.
        """


class Name(Kind):
    """A host, zone or cluster name."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> str:
        """Return the name unchanged."""
        if _NAME_PATTERN.fullmatch(text) is None:
            raise FieldError(
                f'{text!r} must be 1 to 63 lower-case letters, digits, dots'
                ' or hyphens, with a letter or digit at both ends',
            )
        return text


class Names(Kind):
    """Names as a comma-separated list, or as the keys of a JSON object."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> tuple[str, ...]:
        """Return the names in the given order."""
        entries = text.split(',')
        if text.startswith('{'):
            entries = _object_keys(text)
        kind = Name()
        return tuple(kind.parse(entry.strip(), folder) for entry in entries)


class Number(Kind):
    """A number within a closed range."""

    __slots__ = ('_high', '_low', '_integer')

    def __init__(
        self, low: float, high: float, *, integer: bool = False
    ) -> None:
        """Initialize the bounds; ``integer`` allows only whole numbers."""
        self._low = low
        self._high = high
        self._integer = integer

    def parse(self, text: str, folder: Path) -> float:
        """Return the number."""
        try:
            number = int(text) if self._integer else float(text)
        except ValueError:
            expected = 'a whole number' if self._integer else 'a number'
            raise FieldError(f'{text!r} is not {expected}') from None
        in_range = self._low <= number <= self._high
        if not (math.isfinite(number) and in_range):
            bounds = f'{self._low} to {self._high}'
            raise FieldError(f'{text} is not in the range {bounds}')
        return number


class Choice(Kind):
    """One of a fixed set of words."""

    __slots__ = ('_choices',)

    def __init__(self, *choices: str) -> None:
        self._choices = choices

    def parse(self, text: str, folder: Path) -> str:
        """Return the text unchanged."""
        if text not in self._choices:
            allowed = ', '.join(self._choices)
            raise FieldError(f'{text!r} is not one of {allowed}')
        return text


class FilePath(Kind):
    """Path of a file or folder, relative to the settings file's folder."""

    __slots__ = ('_must_exist',)

    def __init__(self, *, must_exist: bool = False) -> None:
        """Initialize the kind; ``must_exist`` requires a readable file."""
        self._must_exist = must_exist

    def parse(self, text: str, folder: Path) -> str:
        """Return the absolute path."""
        path = (folder / text).absolute()
        if self._must_exist and not path.is_file():
            raise FieldError(f'{path} is not a file')
        if self._must_exist and not os.access(path, os.R_OK):
            raise FieldError(f'{path} cannot be read')
        return str(path)


def port(*, allow_zero: bool = False) -> Number:
    """Return the kind of a TCP port; ``allow_zero`` also allows 0."""
    return Number(0 if allow_zero else 1, _MAX_PORT, integer=True)


def _object_keys(text: str) -> list[str]:
    try:
        return list(json.loads(text))
    except ValueError as exc:
        raise FieldError(f'{text!r} is not a JSON object') from exc
