"""Logs and counts the progress of fetching a desired state."""

from __future__ import annotations

import threading
from typing import Final

from apricotcart.observability.catalogue import (
    STATE_FETCH_BLOCKS,
    STATE_FETCH_BYTES,
    STATE_FETCH_S,
)
from apricotcart.observability.decisions import (
    DECISION_COUNTER,
    STATE_FETCHED,
    STATE_FETCHING,
    log_decision,
)

# Time between two log lines about one version.
_LOG_INTERVAL_S: Final = 0.5


class FetchProgress:
    """What has arrived since a newer version became known."""

    __slots__ = (
        '_began_at',
        '_blocks',
        '_bytes',
        '_is_fetching',
        '_lock',
        '_logged_at',
        '_version',
    )

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._is_fetching = False
        self._version = -1
        self._began_at: float = 0
        self._logged_at: float = 0
        self._bytes = 0
        self._blocks = 0

    def begin(self, version: int, now: float) -> None:
        """Record that a version is fetched.

        The time counts from the first version that a gateway lacked.
        """
        with self._lock:
            self._version = version
            if not self._is_fetching:
                self._is_fetching = True
                self._began_at = now
                self._logged_at = now
                self._bytes = 0
                self._blocks = 0

    def add(self, blocks: int, length: int) -> None:
        """Count blocks that have arrived, and their compressed bytes."""
        with self._lock:
            self._blocks += blocks
            self._bytes += length
        DECISION_COUNTER.add(STATE_FETCH_BLOCKS, blocks)
        DECISION_COUNTER.add(STATE_FETCH_BYTES, length)

    def report(self, missing: int, now: float) -> None:
        """Log at intervals how far the transfer is."""
        with self._lock:
            if now < self._logged_at + _LOG_INTERVAL_S:
                return
            self._logged_at = now
        DECISION_COUNTER.set_gauge(STATE_FETCH_S, now - self._began_at)
        log_decision(
            STATE_FETCHING,
            version=self._version,
            blocks=self._blocks,
            bytes_in=self._bytes,
            missing=missing,
            duration_s=now - self._began_at,
        )

    def stop(self) -> None:
        """Record that nothing is fetched any more."""
        with self._lock:
            self._is_fetching = False
        DECISION_COUNTER.set_gauge(STATE_FETCH_S, 0)

    def end(self, version: int, now: float) -> None:
        """Log that a version is complete."""
        self.stop()
        log_decision(
            STATE_FETCHED,
            version=version,
            blocks=self._blocks,
            bytes_in=self._bytes,
            duration_s=now - self._began_at,
        )
