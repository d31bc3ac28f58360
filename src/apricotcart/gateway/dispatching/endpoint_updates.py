"""Keeps the gateway's list of endpoints up to date."""

from __future__ import annotations

import logging
import threading
from collections.abc import Mapping, Sequence
from typing import Any, Final

from apricotcart.endpoints.instances import Instance
from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.exchanges.connections import ConnectionPool
from apricotcart.provisioning.fleet_api import FleetPlatform
from apricotcart.timers.clock import boot_clock_s

_LOG = logging.getLogger(__name__)
# Interval between two checks of the age of the list.
CHECK_INTERVAL_S: Final = 0.1
# Maximum age of the endpoint list before this host fetches it from the platform
# itself. It is below the sync interval plus the sync timeout, so that one sync
# without a response is enough: the next one may take as long.
_LIST_MAX_AGE_S: Final = 1.0
# Minimum interval between two such fetches.
_FETCH_INTERVAL_S: Final = 0.7


class EndpointUpdater:
    """Applies the lists of the leader, and fetches one while there are none.

    The fetch runs on a thread of its own, since the platform may not answer.

    Parameters
    ----------
    platform : FleetPlatform
        Lists the endpoints while no leader responds.
    dispatcher : Dispatcher
        Stores the endpoints.
    pool : ConnectionPool
        Closes connections to endpoints that are no longer listed.
    """

    __slots__ = (
        '_dispatcher',
        '_fetched_at',
        '_lock',
        '_mark',
        '_platform',
        '_pool',
        '_updated_at',
    )

    def __init__(
        self,
        platform: FleetPlatform,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
    ) -> None:
        self._platform = platform
        self._dispatcher = dispatcher
        self._pool = pool
        self._lock = threading.Lock()
        self._mark = 0
        # With 0, the list is fetched at once if the first sync fails.
        self._updated_at: float = 0
        self._fetched_at: float = 0

    @property
    def mark(self) -> int:
        """Mark of the leader's list that is in use, 0 without one."""
        return self._mark

    def apply_reply(
        self,
        instances: Sequence[Instance] | None,
        mark: int,
        requested_at: float,
    ) -> None:
        """Apply the list of a sync reply.

        Parameters
        ----------
        instances : sequence of Instance or None
            The list, None if it has not changed.
        mark : int
            Mark of the list, 0 if the leader has no recent one.
        requested_at : float
            When the sync was sent, in seconds.
        """
        with self._lock:
            if instances is not None:
                self._apply(instances)
            if mark:
                self._mark = mark
                self._updated_at = requested_at

    def fetch_if_stale(self) -> None:
        """Fetch the list from the platform if the leader's is too old."""
        now = boot_clock_s()
        if now < self._updated_at + _LIST_MAX_AGE_S:
            return
        if now < self._fetched_at + _FETCH_INTERVAL_S:
            return
        self._fetched_at = now
        try:
            instances = self._platform.instances()
        except ApricotcartError as exc:
            _LOG.warning('cannot fetch the list of endpoints: %s', exc)
            return
        with self._lock:
            if now < self._updated_at:
                # A newer list of the leader arrived meanwhile.
                return
            self._apply(instances)
            # Makes the leader send its full list in the next sync.
            self._mark = 0

    def _apply(self, instances: Sequence[Instance]) -> None:
        self._dispatcher.update_placement(
            lambda placement: placement.update_instances(
                instances, boot_clock_s()
            ),
        )
        self._pool.close_except({instance.address for instance in instances})


def parse_instances(
    entries: Sequence[Mapping[str, Any]] | None,
) -> list[Instance] | None:
    """Return the list of a sync reply; None if it has not changed."""
    if entries is None:
        return None
    return [Instance.from_wire(entry) for entry in entries]
