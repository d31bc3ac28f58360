"""Splits a stream of server-sent events at event boundaries."""

from __future__ import annotations

import re
from typing import Final

from apricotcart.gateway.errors import BrokenEndpointError

# Maximum size of an event, of which an engine writes a few tokens each.
MAX_EVENT_BYTES: Final = 1_048_576
_EVENT_DELIMITERS: Final = (b'\n\n', b'\r\n\r\n')
# Lines of events: fields, comments, or empty. The HTML standard allows any
# name, but other names are those of a response that a faulty endpoint has
# written into its stream.
_EVENT_LINES: Final = re.compile(
    rb'(?:(?:[a-z0-9_-]*:[^\n]*|(?:data|event|id|retry)?\r?)\n)*'
)
_ID_FIELD: Final = b'id:'


class EventBuffer:
    """Buffers an incomplete event until the rest of it arrives.

    Attributes
    ----------
    last_id : str
        Id of the last complete event; empty before the first.
    """

    __slots__ = ('_partial', 'last_id')

    def __init__(self) -> None:
        self._partial = b''
        self.last_id = ''

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event that is buffered."""
        return len(self._partial)

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes of the stream and return the events that are complete.

        Raises
        ------
        BrokenEndpointError
            If an event exceeds the size limit or has a malformed line.
        """
        buffered = self._partial + chunk
        end = max(
            _end_of(buffered, delimiter) for delimiter in _EVENT_DELIMITERS
        )
        complete = buffered[:end]
        if _EVENT_LINES.fullmatch(complete) is None:
            raise BrokenEndpointError('the stream has a malformed line')
        self._partial = buffered[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise BrokenEndpointError(
                f'an event of the stream exceeds {MAX_EVENT_BYTES} bytes'
            )
        self._record_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Discard an event that was cut off."""
        self._partial = b''

    def _record_id(self, complete: bytes) -> None:
        for line in reversed(complete.split(b'\n')):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
                return


def _end_of(buffered: bytes, delimiter: bytes) -> int:
    position = buffered.rfind(delimiter)
    return position + len(delimiter) if position >= 0 else 0
