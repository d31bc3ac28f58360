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
    """

    __slots__ = (
        '_confirmed_at',
        '_format',
        '_known',
        '_lease_s',
        '_rng',
        '_table',
    )

    def __init__(self, document_format: DocumentFormat, lease_s: float) -> None:
        self._format = document_format
        self._lease_s = lease_s
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
        return self._table is not None and self.age_s() <= self._lease_s

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
        if self.age_s() > self._lease_s:
            raise NotReadyError(
                'no control host has confirmed the copy of the desired state '
                f'for more than {self._lease_s} s',
                retry_after_s=_RETRY_AFTER_S,
            )
        return self._table

    def adopt(
        self, document: bytes, confirmed_at: float
    ) -> RoutingTable | None:
        """Apply a document; return None if it is not newer than the copy.

        Parameters
        ----------
        document : bytes
            Document of an operator.
        confirmed_at : float
            When it was the newest one, in seconds.
        """
        state = self._format.decode(document)
        if state.version <= self.version:
            return None
        replaced_age_s = self.age_s() if self.is_known else None
        self._table = RoutingTable(state)
        self._confirmed_at = confirmed_at
        # Wakes waiting requests, which require a confirmed state.
        self._known.set()
        log_decision(
            STATE_IN_FORCE,
            version=state.version,
            routes=len(state.routes),
            state_age_s=replaced_age_s,
        )
        return self._table

    def age_s(self) -> float:
        """Return the time since the copy was last confirmed as the newest."""
        return boot_clock_s() - self._confirmed_at

    def confirm(self, confirmed_at: float) -> None:
        """Record that the copy was the newest at a time, in seconds."""
        self._confirmed_at = confirmed_at

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

    def _require_fresh(self) -> None:
        if boot_clock_s() > self._confirmed_at + _FRESH_S:
            raise NotReadyError(
                'the copy of the desired state is too old to tell whether the '
                'route or key exists',
                retry_after_s=_RETRY_AFTER_S,
            )
