"""Tells an endpoint that has ended from one that closed a connection."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from typing import Final

from apricotcart.endpoints.instances import Instance
from apricotcart.timers.clock import boot_clock_s

# An endpoint that runs accepts a connection within a round trip.
_TIMEOUT_S: Final = 0.1
# Time for which an end is remembered. An endpoint takes longer to start again.
_MEMORY_S: Final = 1.0


class EndCheck:
    """Connects to endpoints whose connections ended.

    Many requests fail with an endpoint that ends; one attempt to connect is
    enough for all of them.
    """

    __slots__ = ('_ended_at', '_lock')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ended_at: dict[str, float] = {}

    def has_ended(self, instance: Instance) -> bool:
        """Return whether the endpoint no longer accepts connections."""
        now = boot_clock_s()
        with self._lock:
            self._forget_before(now - _MEMORY_S)
            if instance.run_id in self._ended_at:
                return True
        if _accepts(instance.address):
            return False
        with self._lock:
            self._ended_at[instance.run_id] = now
        return True

    def _forget_before(self, oldest_kept_at: float) -> None:
        self._ended_at = {
            run_id: ended_at
            for run_id, ended_at in self._ended_at.items()
            if ended_at >= oldest_kept_at
        }


def _accepts(address: str) -> bool:
    host, _, port = address.rpartition(':')
    with suppress(OSError):
        socket.create_connection((host, int(port)), _TIMEOUT_S).close()
        return True
    return False
