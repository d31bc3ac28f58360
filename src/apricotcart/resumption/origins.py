"""Which service and software version began a stream."""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Collection, Iterable
from typing import Final

from apricotcart.codec.record import Record

# Longest time after the start of a stream in which its caller may resume it.
# Callers wait for minutes at most, and most for seconds.
RETENTION_S: Final = 60.0
# About 60 s of streams at 2,800 requests/s, each recorded on 3 of 16 hosts.
MAX_ORIGINS: Final = 50_000


class StreamOrigin(Record):
    """Service and software version of the endpoint that began a stream."""

    __slots__ = ('service', 'software_version')

    def __init__(self, *, service: str, software_version: str) -> None:
        self.service = service
        self.software_version = software_version


class _Entry:
    __slots__ = ('added_at', 'is_stored', 'origin')

    def __init__(self, added_at: float, origin: StreamOrigin) -> None:
        self.added_at = added_at
        self.origin = origin
        self.is_stored = False


class OriginTable:
    """Origins of recent streams by the attempt that began them.

    The oldest records are removed first, by age and beyond a maximum number.
    """

    __slots__ = ('_entries', '_lock')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._entries)

    def add(self, now: float, attempt_id: str, origin: StreamOrigin) -> None:
        """Record the origin of a stream, or that it was resumed."""
        with self._lock:
            self._entries[attempt_id] = _Entry(now, origin)
            self._entries.move_to_end(attempt_id)
            self._remove_old(now)

    def find(self, now: float, attempt_id: str) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        with self._lock:
            self._remove_old(now)
            entry = self._entries.get(attempt_id)
        return None if entry is None else entry.origin

    def unstored(
        self, now: float, services: Collection[str]
    ) -> dict[str, StreamOrigin]:
        """Return the records of services that are not stored elsewhere."""
        with self._lock:
            self._remove_old(now)
            return {
                attempt_id: entry.origin
                for attempt_id, entry in self._entries.items()
                if not entry.is_stored and entry.origin.service in services
            }

    def mark_stored(self, attempt_ids: Iterable[str]) -> None:
        """Mark records as stored elsewhere."""
        with self._lock:
            for attempt_id in attempt_ids:
                entry = self._entries.get(attempt_id)
                if entry is not None:
                    entry.is_stored = True

    def _remove_old(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            is_recent = oldest.added_at >= now - RETENTION_S
            if is_recent and len(self._entries) <= MAX_ORIGINS:
                return
            self._entries.popitem(last=False)
