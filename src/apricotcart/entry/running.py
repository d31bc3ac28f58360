"""Requests that run now, and the check of their keys."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

CHECK_INTERVAL_S = 0.2


class KeyCheck(ABC):
    """Tells whether a key may still be used."""

    @abstractmethod
    def is_key_valid(self, key_name: str) -> bool:
        """Tell whether requests with the key may go on."""


class RunningRequest:
    """One request that runs on an endpoint.

    Attributes
    ----------
    is_revoked : bool
        Whether the key was withdrawn while the request ran.
    """

    __slots__ = ('_abort', '_lock', 'is_revoked', 'key_name')

    def __init__(self, key_name: str) -> None:
        """Start without a connection to abort."""
        self.key_name = key_name
        self.is_revoked = False
        self._abort: Callable[[], None] | None = None
        self._lock = threading.Lock()

    def attach(self, abort: Callable[[], None]) -> None:
        """Set what ends the connection that the request waits on."""
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
    """Requests in flight of one entry host."""

    __slots__ = ('_lock', '_requests')

    def __init__(self) -> None:
        """Start empty."""
        self._requests: dict[str, RunningRequest] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        """Count the requests."""
        return len(self._requests)

    def add(self, request_id: str, key_name: str) -> RunningRequest:
        """Add a request that starts to run."""
        running = RunningRequest(key_name)
        with self._lock:
            self._requests[request_id] = running
        return running

    def remove(self, request_id: str) -> None:
        """Remove a request that has ended."""
        with self._lock:
            self._requests.pop(request_id, None)

    def check(self, keys: KeyCheck) -> int:
        """Revoke the requests whose key is no longer valid; count them."""
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
