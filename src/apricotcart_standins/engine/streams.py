"""Streams that can be resumed after their connection is lost."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from apricotcart_standins.engine.completion import Completion

_Stream: TypeAlias = tuple[float, list[str]]

_MAX_STREAMS = 1000


class StreamTable:
    """Table of resumable streams by request identifier.

    Parameters
    ----------
    retention_s : float
        Time a stream stays resumable after `add`, in seconds.
    """

    __slots__ = ('_retention_s', '_lock', '_streams', 'last_completed')

    def __init__(self, retention_s: float) -> None:
        """Initialize an empty table."""
        self._retention_s = retention_s
        self._streams: OrderedDict[str, _Stream] = OrderedDict()
        self._lock = threading.Lock()
        self.last_completed: Completion | None = None

    def add(self, completion: Completion) -> None:
        """Add a stream, evicting the oldest one if the table is full."""
        with self._lock:
            self._streams[completion.request_id] = (
                time.monotonic() + self._retention_s,
                completion.words,
            )
            self._streams.move_to_end(completion.request_id)
            while len(self._streams) > _MAX_STREAMS:
                self._streams.popitem(last=False)

    def is_resumable(self, completion: Completion) -> bool:
        """Return whether the request is stored with the same prompt."""
        with self._lock:
            stored = self._streams.get(completion.request_id)
        if stored is None or stored[0] < time.monotonic():
            return False
        return stored[1] == completion.words
