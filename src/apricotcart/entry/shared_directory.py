"""Host directory shared by the sync thread and the request threads."""

from __future__ import annotations

import threading
import time
from typing import Any

from apricotcart.membership.directory import HostDirectory
from apricotcart.membership.records import HostList


class SharedHostDirectory:
    """Thread-safe directory of the entry hosts that callers should use.

    Parameters
    ----------
    directory : HostDirectory
        Accessed only under this object's lock.
    """

    __slots__ = ('_directory', '_lock')

    def __init__(self, directory: HostDirectory) -> None:
        self._directory = directory
        self._lock = threading.Lock()

    def digest(self) -> str | None:
        """Return the digest of the current host list, or None."""
        with self._lock:
            return self._directory.held_digest

    def apply(self, host_list: HostList, started_at: float) -> None:
        """Apply the host list of a sync.

        ``started_at`` is the start of the sync in monotonic seconds.
        """
        with self._lock:
            self._directory.apply(host_list, started_at)

    def document(self, zone: str | None) -> dict[str, Any]:
        """Return host addresses for a caller in a zone, and their time to live.

        Raises
        ------
        HostsUnknownError
            If no host is known or the list is too old.
        """
        with self._lock:
            answer = self._directory.answer(time.monotonic(), zone)
        return {'hosts': list(answer.addresses), 'ttl_s': answer.ttl_s}
