"""Reads pages of the platform's list of endpoints, entry by entry.

Entries may come from other writers. One that the JSON library cannot read, for
example for its nesting or a number, must not hide the others of its page.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Iterator, Sequence
from typing import Any, Final

import orjson

from apricotcart.provisioning.fleet_api import PlatformUnavailableError

_LOG = logging.getLogger(__name__)
_ENTRIES: Final = 'instances'
_NEXT: Final = 'next'
# Strings and the characters that structure a document.
_TOKEN: Final = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_START: Final = re.compile(rf'"{_ENTRIES}"\s*:\s*(?=\[)')
# Depth of the array of entries in the page.
_ARRAY_DEPTH: Final = 2


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
        texts = list(_split_array(text, start))
        # Each entry is followed by a comma or by the end of the array.
        array_chars = 1 + sum(len(entry) + 1 for entry in texts)
        before = text[:start]
        after = text[start + array_chars :]
        try:
            page = orjson.loads(''.join((before, '[]', after)))
        except orjson.JSONDecodeError as exc:
            raise PlatformUnavailableError(
                'the list of endpoints is not JSON'
            ) from exc
        decoded = cls._from_object(page)
        decoded.entries = list(_decode_entries(texts))
        return decoded


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


def _decode_entries(texts: Sequence[str]) -> Iterator[Any]:
    for text in texts:
        try:
            yield orjson.loads(text.encode(errors='replace'))
        except orjson.JSONDecodeError as exc:
            _LOG.warning('skipped an unreadable endpoint of the list: %s', exc)
