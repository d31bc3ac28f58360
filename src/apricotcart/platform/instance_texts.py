"""Decodes the texts of entries, of which some are damaged."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from json import JSONDecodeError, JSONDecoder
from typing import Any, Final

import orjson

_LOG = logging.getLogger(__name__)
_OBJECT_START: Final = '{'
# Objects in the text of a damaged entry that are tried in vain.
_MAX_FAILURES: Final = 2000
# Length of nested beginnings that are skipped at once. The decoder gives up
# after more levels than this, each of which has a character at least.
_NESTED_CHARS: Final = 500
# Only finds where an object ends; its numbers are not converted.
_DECODER: Final = JSONDecoder(parse_int=str, parse_float=str)


def decode_piece(text: str) -> Iterator[Any]:
    """Yield the entries in a text that should hold one.

    An entry that is cut off runs into those after it. These are found by
    their beginnings.
    """
    try:
        yield orjson.loads(text.encode(errors='replace'))
    except orjson.JSONDecodeError as exc:
        _LOG.warning('skipped an unreadable endpoint of the list: %s', exc)
        yield from _sound_objects(text)


def _sound_objects(text: str) -> Iterator[Any]:
    position = text.find(_OBJECT_START)
    failures = 0
    while position >= 0 and failures < _MAX_FAILURES:
        try:
            end = _DECODER.raw_decode(text, position)[1]
        except RecursionError:
            failures += 1
            end = position + _NESTED_CHARS
        except JSONDecodeError:
            failures += 1
            end = position + 1
        else:
            yield from _decode(text[position:end])
        position = text.find(_OBJECT_START, end)


def _decode(text: str) -> Iterator[Any]:
    try:
        yield orjson.loads(text.encode(errors='replace'))
    except orjson.JSONDecodeError as exc:
        _LOG.warning('skipped an unreadable endpoint of the list: %s', exc)
