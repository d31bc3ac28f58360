"""Keeps the gateway's list of endpoints up to date."""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Sequence
from typing import Final

from apricotcart.endpoints.instances import Instance
from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.dispatching.list_relay import ListRelay
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.provisioning.fleet_api import FleetPlatform
from apricotcart.timers.clock import boot_clock_s

_LOG = logging.getLogger(__name__)
# Interval between two checks of the age of the list.
CHECK_INTERVAL_S: Final = 0.1
# Maximum age of the endpoint list before this host asks any control host for
# it. It is below the sync interval plus the sync timeout, so that one sync
# without a response is enough: the next one may take as long.
_LIST_MAX_AGE_S: Final = 1.0
# Minimum interval between two such requests.
_RELAY_INTERVAL_S: Final = 0.4
# Minimum interval between two fetches from the platform, which are made while
# no control host answers.
_FETCH_INTERVAL_S: Final = 0.7
# Each gateway adds a random delay of up to this for each gateway, since the
# platform limits the calls of all hosts together.
_FETCH_SPACING_S: Final = 0.1


class EndpointUpdater:
    """Applies the lists of the leader, and finds others while there are none.

    That is done on a thread of its own, since nobody may answer.

    Parameters
    ----------
    platform : FleetPlatform
        Lists the endpoints while no control host responds.
    relay : ListRelay
        Lists the endpoints while no leader responds.
    dispatcher : Dispatcher
        Stores the endpoints.
    pool : ConnectionPool
        Closes connections to endpoints that are no longer listed.
    lag_s : float
        Time after which the platform's list shows a change, in seconds.
    """

    __slots__ = (
        '_dispatcher',
        '_fetch_at',
        '_hosts',
        '_lag_s',
        '_lock',
        '_mark',
        '_platform',
        '_pool',
        '_relay',
        '_relayed_at',
        '_rng',
        '_updated_at',
    )

    def __init__(
        self,
        platform: FleetPlatform,
        relay: ListRelay,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        lag_s: float = 0,
    ) -> None:
        self._lag_s = lag_s
        self._platform = platform
        self._relay = relay
        self._rng = random.Random()
        self._hosts = 1
        self._dispatcher = dispatcher
        self._pool = pool
        self._lock = threading.Lock()
        self._mark = 0
        # With 0, the list is fetched at once if the first sync fails.
        self._updated_at: float = 0
        self._relayed_at: float = 0
        self._fetch_at: float = 0

    @property
    def mark(self) -> int:
        """Mark of the leader's list that is in use, 0 without one."""
        return self._mark

    def apply_reply(
        self,
        instances: Sequence[Instance] | None,
        mark: int,
        requested_at: float,
        age_s: float = 0,
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
        age_s : float
            Age of the leader's list in seconds.
        """
        with self._lock:
            if instances is not None:
                self._apply(instances)
            if mark:
                self._mark = mark
                self._updated_at = requested_at
                self._set_listed_until(requested_at - age_s)
                self._set_fetch_at(requested_at + _LIST_MAX_AGE_S)

    def set_host_count(self, hosts: int) -> None:
        """Set the number of gateways that share the platform's rate limit."""
        self._hosts = hosts

    def refresh_if_stale(self) -> None:
        """Obtain a list elsewhere if the leader's is too old."""
        now = boot_clock_s()
        if now < self._updated_at + _LIST_MAX_AGE_S:
            return
        if now >= self._relayed_at + _RELAY_INTERVAL_S:
            self._relayed_at = now
            self._apply_relayed(now)
        if now >= self._fetch_at:
            self._fetch(now)

    def _apply_relayed(self, requested_at: float) -> None:
        relayed = self._relay.request(self._mark)
        if relayed is None:
            return
        fetched_at = requested_at - relayed.age_s
        with self._lock:
            if fetched_at < self._updated_at:
                # A newer list of the leader arrived meanwhile.
                return
            if relayed.instances is not None:
                self._apply(relayed.instances)
            self._mark = relayed.mark
            self._updated_at = fetched_at
            self._set_listed_until(fetched_at)
            self._set_fetch_at(fetched_at + _LIST_MAX_AGE_S)

    def _fetch(self, now: float) -> None:
        self._set_fetch_at(now + _FETCH_INTERVAL_S)
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
            self._set_listed_until(now)
            # Makes the leader send its full list in the next sync.
            self._mark = 0

    def _set_fetch_at(self, earliest: float) -> None:
        spread_s = self._hosts * _FETCH_SPACING_S
        self._fetch_at = earliest + self._rng.uniform(0, spread_s)

    def _set_listed_until(self, fetched_at: float) -> None:
        self._dispatcher.listed_until = fetched_at - self._lag_s

    def _apply(self, instances: Sequence[Instance]) -> None:
        self._dispatcher.update_placement(
            lambda placement: placement.update_instances(
                instances, boot_clock_s()
            ),
        )
        self._pool.close_except({instance.address for instance in instances})
