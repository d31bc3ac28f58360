"""The head of a request while it arrives, before a thread reads it."""

from __future__ import annotations

import enum
import math
import re
from typing import Final

# The empty line after the headers. Lines that end with LF alone are refused
# later, by the thread that reads the head.
_END: Final = re.compile(rb'\n\r?\n')
# Bytes of an end that an earlier part may hold.
_END_OVERLAP: Final = 2


class Arrival(enum.Enum):
    """What has arrived on a connection."""

    # The head is not complete, and its deadline has not passed.
    PARTIAL = enum.auto()
    # A thread is to read it: it is complete, too large or cut off.
    READY = enum.auto()
    # The peer has closed the connection between two requests.
    CLOSED = enum.auto()


class RequestHead:
    """What has arrived of a head, and perhaps of what follows it.

    Attributes
    ----------
    received : bytearray
        The bytes in order.
    ends_at : float
        When the whole head must have arrived, in seconds of the boot clock.
    is_complete : bool
        Whether it has arrived.
    is_dropped : bool
        Whether it has given way to others; its connection is to be closed.
    """

    __slots__ = ('ends_at', 'is_complete', 'is_dropped', 'received')

    def __init__(self) -> None:
        self.received = bytearray()
        self.ends_at = math.inf
        self.is_complete = False
        self.is_dropped = False

    @property
    def has_begun(self) -> bool:
        """Whether a part has arrived."""
        return bool(self.received)

    def drop(self) -> None:
        """Drop what has arrived; any thread may call this."""
        self.is_dropped = True
        self.received = bytearray()
        self.ends_at = -math.inf

    def add(self, part: bytes, ends_at: float) -> None:
        """Add bytes, the first of which set the deadline."""
        if not part:
            return
        if not self.received:
            self.ends_at = ends_at
        start = max(0, len(self.received) - _END_OVERLAP)
        self.received += part
        if _END.search(self.received, start) is not None:
            self.is_complete = True
