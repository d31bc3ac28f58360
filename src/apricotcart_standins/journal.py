"""Log of the requests that a stand-in received."""

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
    """Keeps the latest requests with all headers."""

    __slots__ = ('_entries', '_lock')

    def __init__(self) -> None:
        """Start empty."""
        self._lock = threading.Lock()
        self._entries: deque[dict[str, Any]] = deque(maxlen=_MAX_ENTRIES)

    def add(self, call: Call) -> None:
        """Keep one request; bodies are kept up to 4 KiB."""
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
        """Forget all requests."""
        with self._lock:
            self._entries.clear()

    def entries(self) -> list[dict[str, Any]]:
        """Give the kept requests, oldest first."""
        with self._lock:
            return list(self._entries)
