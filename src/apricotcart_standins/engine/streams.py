"""Streams that can be resumed after their connection broke."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from apricotcart_standins.engine.completion import Completion

_Entry: TypeAlias = tuple[float, list[str]]

_MAX_STREAMS = 1000


class StreamTable:
    """Remembers streams for a while by request identity.

    Parameters
    ----------
    keep_s : float
        Time a stream stays resumable after its last token, in seconds.
    """

    __slots__ = ('_keep_s', '_lock', '_streams', 'last')

    def __init__(self, keep_s: float) -> None:
        """Start empty."""
        self._keep_s = keep_s
        self._streams: OrderedDict[str, _Entry] = OrderedDict()
        self._lock = threading.Lock()
        self.last: Completion | None = None

    def remember(self, completion: Completion) -> None:
        """Keep a stream resumable from now on."""
        with self._lock:
            self._streams[completion.request_id] = (
                time.monotonic() + self._keep_s,
                completion.words,
            )
            self._streams.move_to_end(completion.request_id)
            while len(self._streams) > _MAX_STREAMS:
                self._streams.popitem(last=False)

    def is_resumable(self, completion: Completion) -> bool:
        """Tell whether the same request with the same prompt is known."""
        with self._lock:
            known = self._streams.get(completion.request_id)
        if known is None or known[0] < time.monotonic():
            return False
        return known[1] == completion.words
