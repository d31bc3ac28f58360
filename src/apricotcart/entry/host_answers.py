"""The host directory, shared by the sync thread and the request threads."""

from __future__ import annotations

import threading
import time
from typing import Any

from apricotcart.membership.directory import HostDirectory
from apricotcart.membership.records import HostList


class HostAnswers:
    """Answers which entry hosts callers should use.

    Parameters
    ----------
    directory : HostDirectory
        Only touched under this object's lock.
    """

    __slots__ = ('_directory', '_lock')

    def __init__(self, directory: HostDirectory) -> None:
        """Keep the directory."""
        self._directory = directory
        self._lock = threading.Lock()

    def held(self) -> str | None:
        """Give the digest of the list that is held."""
        with self._lock:
            return self._directory.held

    def apply(self, listed: HostList, started_at: float) -> None:
        """Take the list of a sync that started at a monotonic time."""
        with self._lock:
            self._directory.apply(listed, started_at)

    def document(self, zone: str | None) -> dict[str, Any]:
        """Give addresses for a caller of a zone and their time to live.

        Raises
        ------
        HostsUnknownError
            If there is no host or the list is too old.
        """
        with self._lock:
            answer = self._directory.answer(time.monotonic(), zone)
        return {'hosts': list(answer.addresses), 'ttl_s': answer.ttl_s}
