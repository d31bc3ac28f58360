"""Server-sent events of engines."""

from __future__ import annotations

from typing import Any

import orjson

from apricotcart.entry.errors import EndpointCrashedError

END_MARKER = b'[DONE]'
_SEPARATOR = b'\n\n'
_PREFIX = b'data:'
# An engine's event is a few hundred bytes; more than this without a
# separator is no event stream.
_MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    """Splits a byte stream into the data of its events."""

    __slots__ = ('_rest',)

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._rest = b''

    def feed(self, chunk: bytes) -> list[bytes]:
        """Take bytes and give the data of the events that are complete.

        Raises
        ------
        EndpointCrashedError
            If the bytes are no event stream.
        """
        stream = (self._rest + chunk).replace(b'\r\n', b'\n')
        blocks = stream.split(_SEPARATOR)
        self._rest = blocks.pop()
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise EndpointCrashedError('an event of the stream has no end')
        found = [_event_text(block) for block in blocks]
        return [text for text in found if text]


def event_document(text: bytes) -> dict[str, Any]:
    """Decode the data of one event.

    Raises
    ------
    EndpointCrashedError
        If the data is no JSON object.
    """
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as exc:
        raise EndpointCrashedError(f'broken event: {exc}') from exc
    if not isinstance(document, dict):
        raise EndpointCrashedError('an event is not a JSON object')
    return document


def event_bytes(text: bytes) -> bytes:
    """Give the wire form of an event."""
    return b'data: %s\n\n' % text


def _event_text(block: bytes) -> bytes:
    lines = [
        line[len(_PREFIX) :].strip()
        for line in block.split(b'\n')
        if line.startswith(_PREFIX)
    ]
    return b'\n'.join(lines)
