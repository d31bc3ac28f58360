"""Limit on what unfinished heads of requests hold together in a process."""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import Final

from apricotcart.observability.decisions import HEAD_GAVE_WAY, log_decision
from apricotcart.web.request_head import RequestHead

_DEFAULT_LIMIT_BYTES: Final = 8_000_000


class HeadMemory:
    """Memory of the heads that have arrived in part.

    While they hold too much, the oldest are dropped; their connections are
    closed.

    Parameters
    ----------
    limit_bytes : int
        Maximum number of bytes.
    """

    __slots__ = ('_limit_bytes', '_lock', '_sizes', '_total')

    def __init__(self, limit_bytes: int = _DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._lock = threading.Lock()
        self._sizes: OrderedDict[RequestHead, int] = OrderedDict()
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes of all unfinished heads."""
        return self._total

    def hold(self, head: RequestHead) -> None:
        """Count what has arrived of a head."""
        size = len(head.received)
        with self._lock:
            self._total += size - self._sizes.get(head, 0)
            self._sizes[head] = size
            while self._total > self._limit_bytes and len(self._sizes) > 1:
                self._drop_oldest()

    def release(self, head: RequestHead) -> None:
        """Forget a head that a thread reads, or whose connection is closed."""
        with self._lock:
            self._total -= self._sizes.pop(head, 0)

    def _drop_oldest(self) -> None:
        head, size = self._sizes.popitem(last=False)
        log_decision(HEAD_GAVE_WAY, bytes_in=size, held_bytes=self._total)
        self._total -= size
        head.drop()
