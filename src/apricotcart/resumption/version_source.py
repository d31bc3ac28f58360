"""Reads which software versions serve from the control hosts."""

from __future__ import annotations

import logging
import threading
from abc import ABC, abstractmethod
from typing import Final

from apricotcart.coordinator.leader_client import HOST_TIMEOUT_S, LeaderClient
from apricotcart.coordinator.messages import KIND, VERSIONS
from apricotcart.errors.tree import ApricotcartError
from apricotcart.resumption.serving_versions import (
    VersionsByService,
    versions_from_wire,
)
from apricotcart.timers.clock import boot_clock_s

_LOG = logging.getLogger(__name__)
# Time limit of a read, in which a second control host may be asked.
_READ_TIMEOUT_S: Final = 0.6


class VersionSource(ABC):
    """Knows every version that may have begun a stream."""

    @abstractmethod
    def read_since(self, since: float) -> VersionsByService | None:
        """Return the versions as of a moment after ``since``, in seconds.

        Return None if they cannot be read now.
        """


class LeaderVersionSource(VersionSource):
    """Reads the replicated versions through the leader.

    Requests that wait at the same time share one read, also if it fails.

    Parameters
    ----------
    leader : LeaderClient
        Client of the leading control host.
    """

    __slots__ = ('_leader', '_lock', '_requested_at', '_versions')

    def __init__(self, leader: LeaderClient) -> None:
        self._leader = leader
        self._lock = threading.Lock()
        self._requested_at: float | None = None
        self._versions: VersionsByService | None = None

    def read_since(self, since: float) -> VersionsByService | None:
        """Return the versions that a quorum has confirmed after ``since``."""
        with self._lock:
            if self._requested_at is None or self._requested_at < since:
                self._requested_at = boot_clock_s()
                self._versions = self._read()
            return self._versions

    def _read(self) -> VersionsByService | None:
        try:
            reply = self._leader.call(
                {KIND: VERSIONS}, _READ_TIMEOUT_S, HOST_TIMEOUT_S
            )
        except ApricotcartError as exc:
            _LOG.info('the software versions cannot be read: %s', exc.message)
            return None
        return versions_from_wire(reply['software_versions'])
