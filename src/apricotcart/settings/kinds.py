"""Kinds of setting: how the text of one key becomes a value."""

from __future__ import annotations

import math
import os
import re
from abc import ABC, abstractmethod
from pathlib import Path
from typing import Any

from apricotcart.errors.tree import ApricotcartError

_NAME = re.compile('[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?')
_MAX_PORT = 65535


class FieldError(ApricotcartError):
    """The text of a setting is no value of its kind."""

    code = 'settings_field'
    http_status = 400


class Kind(ABC):
    """Turns the text of a setting into its value."""

    __slots__ = ()

    @abstractmethod
    def parse(self, text: str, folder: Path) -> Any:
        """Give the value of the text.

        Parameters
        ----------
        text : str
            The text after the equals sign, stripped and not empty.
        folder : Path
            Folder of the settings file, to which paths are relative.

        Raises
        ------
        FieldError
            If the text is no value of this kind.
        """


class Name(Kind):
    """A host, zone or cluster name."""

    __slots__ = ()

    def parse(self, text: str, folder: Path) -> str:
        """Give the name unchanged."""
        if _NAME.fullmatch(text) is None:
            raise FieldError(
                f'{text!r} must be 1 to 63 lower-case letters, digits, dots'
                ' or hyphens, with a letter or digit at both ends',
            )
        return text


class Number(Kind):
    """A number within a closed range."""

    __slots__ = ('_high', '_low', '_whole')

    def __init__(self, low: float, high: float, *, whole: bool = False) -> None:
        """Keep the bounds, and whether only whole numbers are allowed."""
        self._low = low
        self._high = high
        self._whole = whole

    def parse(self, text: str, folder: Path) -> float:
        """Give the number."""
        try:
            number = int(text) if self._whole else float(text)
        except ValueError:
            noun = 'a whole number' if self._whole else 'a number'
            raise FieldError(f'{text!r} is not {noun}') from None
        in_range = self._low <= number <= self._high
        if not (math.isfinite(number) and in_range):
            bounds = f'{self._low} to {self._high}'
            raise FieldError(f'{text} is outside {bounds}')
        return number


class Choice(Kind):
    """One of a few words."""

    __slots__ = ('_words',)

    def __init__(self, *words: str) -> None:
        """Keep the words."""
        self._words = words

    def parse(self, text: str, folder: Path) -> str:
        """Give the word unchanged."""
        if text not in self._words:
            allowed = ', '.join(self._words)
            raise FieldError(f'{text!r} is not one of {allowed}')
        return text


class FilePath(Kind):
    """Path of a file or folder, relative to the settings file's folder."""

    __slots__ = ('_must_exist',)

    def __init__(self, *, must_exist: bool = False) -> None:
        """Keep whether the path must name a file that can be read."""
        self._must_exist = must_exist

    def parse(self, text: str, folder: Path) -> str:
        """Give the absolute path."""
        path = (folder / text).absolute()
        if self._must_exist and not path.is_file():
            raise FieldError(f'{path} is not a file')
        if self._must_exist and not os.access(path, os.R_OK):
            raise FieldError(f'{path} cannot be read')
        return str(path)


def port(*, may_be_off: bool = False) -> Number:
    """Give the kind of a TCP port; with ``may_be_off`` 0 means none."""
    return Number(0 if may_be_off else 1, _MAX_PORT, whole=True)
