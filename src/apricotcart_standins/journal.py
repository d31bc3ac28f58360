"""Journal of the requests that a stand-in received."""

from __future__ import annotations

import threading
import time
from collections import deque
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from apricotcart_standins.web import Call

_MAX_ENTRIES = 20000
_MAX_BODY_BYTES = 4096


class Journal:
    """Latest 20,000 requests with all headers."""

    __slots__ = ('_entries', '_lock')

    def __init__(self) -> None:
        """Initialize an empty journal."""
        self._lock = threading.Lock()
        self._entries: deque[dict[str, Any]] = deque(maxlen=_MAX_ENTRIES)

    def add(self, call: Call) -> None:
        """Record a request with up to 4 KiB of its body."""
        entry = {
            'at': time.time(),
            'method': call.method,
            'path': call.path,
            'headers': call.headers,
            'body': call.body[:_MAX_BODY_BYTES].decode(errors='replace'),
        }
        with self._lock:
            self._entries.append(entry)

    def clear(self) -> None:
        """Delete all entries."""
        with self._lock:
            self._entries.clear()

    def entries(self) -> list[dict[str, Any]]:
        """Return all entries, oldest first."""
        with self._lock:
            return list(self._entries)
