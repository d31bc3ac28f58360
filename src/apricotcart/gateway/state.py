"""The gateway's copy of the desired state, and its age."""

from __future__ import annotations

import random
import threading
from typing import Final

from apricotcart.desired.api import DocumentFormat
from apricotcart.desired.errors import NoDesiredStateError
from apricotcart.desired.records import Customer, Route
from apricotcart.desired.routing import RoutingTable
from apricotcart.gateway.errors import (
    NotReadyError,
    UnknownKeyError,
    UnknownRouteError,
)
from apricotcart.observability.decisions import (
    STATE_IN_FORCE,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s

# Maximum age of the copy at which a missing route or key is reported as
# unknown. With an older copy the request is refused as temporarily unavailable,
# since the route or key may have been added.
_FRESH_S: Final = 1.5
_RETRY_AFTER_S: Final = 1.0
# Bounds on the wait for the first state: a ratio of the caller's timeout, and a
# maximum.
_WAIT_RATIO: Final = 0.3
_WAIT_MAX_S: Final = 2.0


class StateCopy:
    """The desired state as last received from the control hosts.

    Parameters
    ----------
    document_format : DocumentFormat
        Decodes the documents of operators.
    lease_s : float
        Time in seconds for which the copy may be used after it was last
        confirmed as the newest state.
    apply_s : float or None
        The same time while a newer state is known to exist, in seconds;
        ``lease_s`` if None.
    """

    __slots__ = (
        '_apply_s',
        '_confirmed_at',
        '_format',
        '_known',
        '_lease_s',
        '_lock',
        '_newest_at',
        '_newest_version',
        '_rng',
        '_table',
    )

    def __init__(
        self,
        document_format: DocumentFormat,
        lease_s: float,
        apply_s: float | None = None,
    ) -> None:
        self._format = document_format
        self._lease_s = lease_s
        self._apply_s = lease_s if apply_s is None else apply_s
        # Syncs and the threads that fetch a state change the copy.
        self._lock = threading.Lock()
        self._newest_version = -1
        self._newest_at: float = 0
        self._rng = random.Random()
        self._known = threading.Event()
        self._table: RoutingTable | None = None
        self._confirmed_at: float = 0

    @property
    def version(self) -> int:
        """Version of the state; -1 if none is known."""
        return -1 if self._table is None else self._table.state.version

    @property
    def is_known(self) -> bool:
        """Whether a state is known."""
        return self._known.is_set()

    @property
    def is_usable(self) -> bool:
        """Whether a state is known that was confirmed recently enough."""
        return self._table is not None and self.age_s() <= self._limit_s()

    @property
    def newest_version(self) -> int:
        """Newest version that is known to exist; -1 if none is known."""
        return self._newest_version

    @property
    def is_outdated(self) -> bool:
        """Whether a newer state is known to exist."""
        return self._newest_version > self.version

    def wait_until_known(self, remaining_s: float) -> None:
        """Wait for the first state, for a limited time.

        A host that has just started receives it soon, while a refused
        caller would retry too early or not at all.

        Parameters
        ----------
        remaining_s : float
            Timeout of the caller in seconds.
        """
        if not self._known.is_set():
            self._known.wait(min(remaining_s * _WAIT_RATIO, _WAIT_MAX_S))

    def table(self) -> RoutingTable:
        """Return the current routing table.

        Raises
        ------
        NoDesiredStateError
            If no state is known yet.
        NotReadyError
            If the copy was not confirmed for too long.
        """
        if self._table is None:
            raise NoDesiredStateError(
                'no desired state is known yet',
                retry_after_s=_RETRY_AFTER_S,
            )
        limit_s = self._limit_s()
        if self.age_s() > limit_s:
            raise NotReadyError(
                'the copy of the desired state was not the newest for more '
                f'than {limit_s} s',
                retry_after_s=_RETRY_AFTER_S,
            )
        return self._table

    def adopt(
        self, document: bytes, confirmed_at: float | None = None
    ) -> RoutingTable | None:
        """Apply a document; return None if it is not newer than the copy.

        Parameters
        ----------
        document : bytes
            Document of an operator.
        confirmed_at : float or None
            When it was the newest one, in seconds. If None, syncs have named
            its version: it was the newest at the last of these, or at the
            last confirmation if it is not the newest any more, since it was
            committed after the state that it replaces.

        Raises
        ------
        InvalidDesiredStateError
            If the document is invalid.
        """
        state = self._format.decode(document)
        if state.version <= self.version:
            return None
        table = RoutingTable(state)
        with self._lock:
            if state.version <= self.version:
                return None
            replaced_age_s = self.age_s() if self.is_known else None
            if confirmed_at is None and state.version >= self._newest_version:
                confirmed_at = self._newest_at
            self._table = table
            self._confirmed_at = max(confirmed_at or 0, self._confirmed_at)
        # Wakes waiting requests, which require a confirmed state.
        self._known.set()
        log_decision(
            STATE_IN_FORCE,
            version=state.version,
            routes=len(state.routes),
            state_age_s=replaced_age_s,
        )
        return table

    def age_s(self) -> float:
        """Return the time since the copy was last confirmed as the newest."""
        return boot_clock_s() - self._confirmed_at

    def observe(self, newest_version: int, requested_at: float) -> None:
        """Record which version was the newest at a time.

        Parameters
        ----------
        newest_version : int
            Version that a leader has named, -1 without one.
        requested_at : float
            When the leader was asked, in seconds.
        """
        with self._lock:
            if newest_version < self._newest_version:
                return
            self._newest_version = newest_version
            self._newest_at = requested_at
            if newest_version <= self.version:
                self._confirmed_at = max(requested_at, self._confirmed_at)

    def route(self, host: str, path: str) -> Route:
        """Return the route of a request.

        Raises
        ------
        UnknownRouteError
            If no route matches.
        NotReadyError
            If the copy is too old to tell.
        """
        route = self.table().route(host, path)
        if route is None:
            self._require_fresh()
            raise UnknownRouteError('no route matches the host name and path')
        return route

    def customer(self, route: Route, key: str) -> Customer | None:
        """Return the customer of a request, None on routes without keys.

        Raises
        ------
        UnknownKeyError
            If no customer holds the key.
        NotReadyError
            If the copy is too old to tell.
        """
        table = self.table()
        if route.is_public or not table.needs_key:
            return None
        customer = table.customer(key)
        if customer is None:
            self._require_fresh()
            raise UnknownKeyError(
                'the request has no API key or an unknown one'
            )
        return customer

    def choose_service(self, route: Route) -> str:
        """Return a service of the route, chosen at random by weight."""
        if len(route.splits) == 1:
            return route.splits[0].service
        weights = [split.weight for split in route.splits]
        return self._rng.choices(route.splits, weights)[0].service

    def _limit_s(self) -> float:
        return self._apply_s if self.is_outdated else self._lease_s

    def _require_fresh(self) -> None:
        if self.is_outdated or self.age_s() > _FRESH_S:
            raise NotReadyError(
                'the copy of the desired state is too old to tell whether the '
                'route or key exists',
                retry_after_s=_RETRY_AFTER_S,
            )
