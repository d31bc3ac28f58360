"""Server-sent events of engines."""

from __future__ import annotations

from typing import Any

import orjson

from apricotcart.entry.errors import EndpointCrashedError

END_MARKER = b'[DONE]'
_SEPARATOR = b'\n\n'
_PREFIX = b'data:'
# Events of engines have a few hundred bytes. A stream with more bytes than
# this without a separator is not an event stream.
_MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    """Splits a byte stream into the data of its events."""

    __slots__ = ('_buffer',)

    def __init__(self) -> None:
        self._buffer = b''

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add bytes and return the data of the events completed by them.

        Raises
        ------
        EndpointCrashedError
            If the bytes are not an event stream.
        """
        stream = (self._buffer + chunk).replace(b'\r\n', b'\n')
        blocks = stream.split(_SEPARATOR)
        self._buffer = blocks.pop()
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise EndpointCrashedError(
                'an event of the stream has no separator'
            )
        events = [_event_data(block) for block in blocks]
        return [event_data for event_data in events if event_data]


def parse_event(event_data: bytes) -> dict[str, Any]:
    """Decode the data of one event.

    Raises
    ------
    EndpointCrashedError
        If the data is not a JSON object.
    """
    try:
        document = orjson.loads(event_data)
    except orjson.JSONDecodeError as exc:
        raise EndpointCrashedError(
            f'an event is not valid JSON: {exc}'
        ) from exc
    if not isinstance(document, dict):
        raise EndpointCrashedError('an event is not a JSON object')
    return document


def encode_event(event_data: bytes) -> bytes:
    """Return the wire form of an event."""
    return b'data: %s\n\n' % event_data


def _event_data(block: bytes) -> bytes:
    lines = [
        line[len(_PREFIX) :].strip()
        for line in block.split(b'\n')
        if line.startswith(_PREFIX)
    ]
    return b'\n'.join(lines)
