"""Table of running requests, with periodic checks of their keys."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

CHECK_INTERVAL_S = 0.2


class KeyCheck(ABC):
    """Interface to check whether an API key is still valid."""

    @abstractmethod
    def is_key_valid(self, key_name: str) -> bool:
        """Return whether requests with the key may continue."""


class RunningRequest:
    """A running request.

    Attributes
    ----------
    is_revoked : bool
        Whether the key was withdrawn while the request ran.
    """

    __slots__ = ('_abort', '_lock', 'is_revoked', 'key_name')

    def __init__(self, key_name: str) -> None:
        self.key_name = key_name
        self.is_revoked = False
        self._abort: Callable[[], None] | None = None
        self._lock = threading.Lock()

    def set_abort_callback(self, abort: Callable[[], None]) -> None:
        """Set the callback that ends the request's endpoint connection.

        It is called at once if the request is already revoked.
        """
        with self._lock:
            self._abort = abort
            revoked = self.is_revoked
        if revoked:
            abort()

    def revoke(self) -> None:
        """Mark the request and end its connection."""
        with self._lock:
            self.is_revoked = True
            abort = self._abort
        if abort is not None:
            abort()


class RunningTable:
    """Requests in flight on one entry host."""

    __slots__ = ('_lock', '_requests')

    def __init__(self) -> None:
        self._requests: dict[str, RunningRequest] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._requests)

    def add(self, request_id: str, key_name: str) -> RunningRequest:
        """Add a request."""
        running = RunningRequest(key_name)
        with self._lock:
            self._requests[request_id] = running
        return running

    def remove(self, request_id: str) -> None:
        """Remove a request, if present."""
        with self._lock:
            self._requests.pop(request_id, None)

    def check(self, keys: KeyCheck) -> int:
        """Revoke requests whose key is no longer valid; return their number."""
        with self._lock:
            requests = list(self._requests.values())
        revoked = [
            running
            for running in requests
            if not running.is_revoked
            and running.key_name
            and not keys.is_key_valid(running.key_name)
        ]
        for running in revoked:
            running.revoke()
        return len(revoked)
