"""Reads pages of the platform's list of endpoints, entry by entry.

Entries may come from other writers. One that the JSON library cannot read, for
its nesting, a number or since it is cut off, must not hide the others of its
page.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from contextlib import suppress
from itertools import chain
from typing import Any, Final

import orjson

from apricotcart.platform.instance_texts import decode_piece
from apricotcart.provisioning.fleet_api import PlatformUnavailableError

_ENTRIES: Final = 'instances'
_NEXT: Final = 'next'
# Strings and the characters that structure a document.
_TOKEN: Final = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_START: Final = re.compile(rf'"{_ENTRIES}"\s*:\s*(?=\[)')
# Depth of the array of entries in the page.
_ARRAY_DEPTH: Final = 2
# Brackets at the end of a page that are tried as the end of the array.
_MAX_END_TRIES: Final = 50


class InstancePage:
    """One page of the list.

    Attributes
    ----------
    entries : list
        Decoded entries; those that cannot be decoded are left out.
    next_token : str
        Token of the next page, empty on the last one.
    """

    __slots__ = ('entries', 'next_token')

    def __init__(self, entries: Sequence[Any], next_token: str) -> None:
        self.entries = entries
        self.next_token = next_token

    @classmethod
    def from_json(cls, body: bytes) -> InstancePage:
        """Decode a page.

        Raises
        ------
        PlatformUnavailableError
            If it is not a JSON object with a list of entries.
        """
        try:
            return cls._from_object(orjson.loads(body))
        except orjson.JSONDecodeError:
            return cls._from_text(body.decode(errors='replace'))

    @classmethod
    def _from_object(cls, page: Any) -> InstancePage:
        entries = page.get(_ENTRIES) if isinstance(page, dict) else None
        if not isinstance(entries, list):
            raise PlatformUnavailableError(
                'the list of endpoints is not a JSON object with an array of '
                'instances'
            )
        return cls(entries, str(page.get(_NEXT) or ''))

    @classmethod
    def _from_text(cls, text: str) -> InstancePage:
        """Decode a page of which some entries cannot be decoded."""
        start = _array_start(text)
        before = text[:start]
        try:
            pieces, after = _split_by_structure(text, start)
            page = cls._around(before, after)
        except PlatformUnavailableError:
            # An entry that was cut off has changed the structure.
            end = _array_end(text, start)
            pieces = [text[start + 1 : end]]
            page = cls._around(before, text[end + 1 :])
        page.entries = list(chain.from_iterable(map(decode_piece, pieces)))
        return page

    @classmethod
    def _around(cls, before: str, after: str) -> InstancePage:
        """Decode a page without its entries."""
        try:
            page = orjson.loads(''.join((before, '[]', after)))
        except orjson.JSONDecodeError as exc:
            raise PlatformUnavailableError(
                'the list of endpoints is not JSON'
            ) from exc
        return cls._from_object(page)


def _array_start(text: str) -> int:
    """Return the position of the array of entries."""
    depth = 0
    for token in _TOKEN.finditer(text):
        if depth == _ARRAY_DEPTH - 1:
            start = _START.match(text, token.start())
            if start is not None:
                return start.end()
        depth += _depth_change(token.group())
    raise PlatformUnavailableError('the list of endpoints has no instances')


def _array_end(text: str, start: int) -> int:
    """Return the position of the bracket that ends the array of entries.

    It is the last one after which the rest of the page is sound.
    """
    end = len(text)
    before = text[:start]
    for _ in range(_MAX_END_TRIES):
        end = text.rfind(']', start, end)
        if end < 0:
            break
        after = text[end + 1 :]
        with suppress(orjson.JSONDecodeError):
            orjson.loads(''.join((before, '[]', after)))
            return end
    raise PlatformUnavailableError('the list of endpoints is truncated')


def _split_by_structure(text: str, start: int) -> tuple[list[str], str]:
    """Return the texts of the entries, and the text after the array."""
    pieces = list(_split_array(text, start))
    # Each entry is followed by a comma or by the end of the array.
    array_chars = 1 + sum(len(piece) + 1 for piece in pieces)
    return pieces, text[start + array_chars :]


def _split_array(text: str, start: int) -> Iterator[str]:
    """Yield the texts between the commas of an array at a position."""
    depth = 0
    entry_start = start + 1
    for token in _TOKEN.finditer(text, start):
        depth += _depth_change(token.group())
        is_end = not depth
        if is_end or (depth == 1 and token.group() == ','):
            yield text[entry_start : token.start()]
            entry_start = token.end()
        if is_end:
            return
    raise PlatformUnavailableError('the list of endpoints is truncated')


def _depth_change(token: str) -> int:
    if token in {'[', '{'}:
        return 1
    return -1 if token in {']', '}'} else 0
