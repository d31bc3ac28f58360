"""Cached list of endpoints, fetched by the leader for all hosts."""

from __future__ import annotations

import logging
import threading
import zlib
from collections.abc import Sequence
from typing import Any, Final

from apricotcart.codec.packing import pack
from apricotcart.endpoints.instances import Instance
from apricotcart.errors.tree import ApricotcartError
from apricotcart.provisioning.fleet_api import FleetPlatform
from apricotcart.timers.clock import boot_clock_s

_LOG = logging.getLogger(__name__)
# Time between two fetches. All hosts learn of a leaving endpoint well within
# the notice period of the platform.
FETCH_INTERVAL_S: Final = 0.4
# An older list is not sent to gateways; they then fetch it themselves.
_MAX_AGE_S: Final = 1.2

WireList = list[dict[str, Any]]


class EndpointList:
    """The last list that was fetched, with a checksum as its mark.

    Parameters
    ----------
    platform : FleetPlatform
        Provides the list of endpoints.
    """

    __slots__ = ('_fetched_at', '_instances', '_lock', '_mark', '_platform')

    def __init__(self, platform: FleetPlatform) -> None:
        self._platform = platform
        self._lock = threading.Lock()
        self._instances: Sequence[Instance] = ()
        self._mark = 0
        self._fetched_at: float = -_MAX_AGE_S

    def fetch(self) -> None:
        """Fetch the list; keep the old one on failure."""
        started_at = boot_clock_s()
        try:
            instances = self._platform.instances()
        except ApricotcartError as exc:
            _LOG.warning('failed to fetch the list of endpoints: %s', exc)
            return
        with self._lock:
            self._instances = instances
            self._mark = _checksum(instances)
            self._fetched_at = started_at

    def instances(self) -> Sequence[Instance]:
        """Return the last list that was fetched."""
        with self._lock:
            return self._instances

    def age_s(self) -> float:
        """Return the time since the list was fetched, in seconds."""
        return boot_clock_s() - self._fetched_at

    def is_fresh(self) -> bool:
        """Return whether the list is recent enough to send to gateways."""
        return self.age_s() < _MAX_AGE_S

    def changes_since(self, known_mark: int) -> tuple[int, WireList | None]:
        """Return the mark, and the list if its mark is not ``known_mark``.

        The mark is 0 and the list None while the list is too old.
        """
        with self._lock:
            mark = self._mark if self.is_fresh() else 0
            instances = self._instances
        if mark in {0, known_mark}:
            return mark, None
        return mark, [instance.to_wire() for instance in instances]


def _checksum(instances: Sequence[Instance]) -> int:
    return (
        zlib.crc32(
            pack([_checksummed_fields(instance) for instance in instances])
        )
        + 1
    )


def _checksummed_fields(instance: Instance) -> list[Any]:
    """Return the fields that change the mark.

    Remaining times are reduced to flags, since they differ in each fetch.
    """
    return [
        *instance.key,
        instance.address,
        instance.service,
        instance.is_ready,
        instance.warmup_s > 0,
        instance.leaves_s is None,
    ]
