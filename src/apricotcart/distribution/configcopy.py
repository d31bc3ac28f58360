"""The copy of the configuration on an entry host."""

from __future__ import annotations

import math
from typing import Final

from apricotcart.distribution.errors import (
    ConfigStaleError,
    KeyWithdrawnError,
    RouteUnknownError,
    RunningConfigStaleError,
    RunningKeyWithdrawnError,
    UnauthorizedError,
)
from apricotcart.distribution.updates import ConfigUpdate
from apricotcart.distribution.view import ConfigView, may_use
from apricotcart.state.records import Resource

#: Time from the start of a sync for which its reply confirms that the copy is
#: fresh. Running streams are checked every 0.2 s, so that a revoked key stops
#: working within 5 s.
FRESH_FOR_S: Final = 4.0

APPLIED: Final = 'applied'
UNCHANGED: Final = 'unchanged'
OUTDATED: Final = 'outdated'
GAP: Final = 'gap'


class Admission:
    """Resources that a request was admitted with, all of one revision.

    Attributes
    ----------
    customer : str or None
        Customer of the key; None for a public route without a key.
    route, service_class, pool : Resource
        The route, and the class and pool that it names.
    """

    __slots__ = ('customer', 'pool', 'route', 'service_class')

    def __init__(
        self,
        *,
        customer: str | None,
        route: Resource,
        service_class: Resource,
        pool: Resource,
    ) -> None:
        self.customer = customer
        self.route = route
        self.service_class = service_class
        self.pool = pool


class ConfigCopy:
    """A copy whose revision never decreases and that is used only while fresh.

    One thread applies updates. Any thread may read, since the view is
    replaced as a whole.

    Attributes
    ----------
    view : ConfigView
        The latest revision received, fresh or not.
    last_sync_started_at : float
        Monotonic time, in s, of the start of the last sync whose reply
        confirmed the copy; minus infinity before the first.
    """

    __slots__ = ('_needs_snapshot', 'last_sync_started_at', 'view')

    def __init__(self) -> None:
        self.view = ConfigView.from_snapshot(
            ConfigUpdate(base=None, revision=0),
        )
        self.last_sync_started_at = -math.inf
        self._needs_snapshot = True

    @property
    def held_revision(self) -> int | None:
        """Revision to send in a sync, or None to request a snapshot."""
        return None if self._needs_snapshot else self.view.revision

    def apply(self, update: ConfigUpdate, started_at: float) -> str:
        """Apply the update of a sync reply.

        An update below the revision of the copy is ignored and does not
        confirm the copy, since it is a delayed reply or from a host that
        lost its state. Changes that start above the revision of the copy
        leave a gap, so the next sync requests a snapshot.

        Parameters
        ----------
        update : ConfigUpdate
            The update.
        started_at : float
            Monotonic time, in s, before the sync was sent.

        Returns
        -------
        str
            ``applied``, ``unchanged``, ``outdated`` or ``gap``.
        """
        outcome = self._outcome_of(update)
        if outcome == GAP:
            self._needs_snapshot = True
        if outcome in {GAP, OUTDATED}:
            return outcome
        if outcome == APPLIED:
            self._replace_view(update)
        self.last_sync_started_at = max(self.last_sync_started_at, started_at)
        return outcome

    def is_fresh(self, now: float) -> bool:
        """Return whether the copy may be used."""
        return now < self.last_sync_started_at + FRESH_FOR_S

    def admit(
        self,
        now: float,
        *,
        sha256: str | None,
        route_kind: str,
        route_name: str,
    ) -> Admission:
        """Check a new request and return the resources for it.

        Parameters
        ----------
        now : float
            Monotonic time in s.
        sha256 : str or None
            SHA-256 digest of the API key; None for a request without a key.
        route_kind, route_name : str
            Kind (``chat`` or ``service``) and name of the route.

        Raises
        ------
        ConfigStaleError
            If the copy is not fresh.
        UnauthorizedError
            If there is no key and the route is not public, or if the key is
            unknown.
        KeyWithdrawnError
            If the key was revoked.
        RouteUnknownError
            If the customer may use no such route, or if its class or pool
            is missing.
        """
        if not self.is_fresh(now):
            raise ConfigStaleError('the configuration copy may be out of date')
        view = self.view
        customer = None if sha256 is None else _customer_of(view, sha256)
        route = view.get('route', route_name)
        if customer is None and not (route and route.spec['public']):
            raise UnauthorizedError('the route requires an API key')
        if route is None or route.spec['kind'] != route_kind:
            raise RouteUnknownError('no such route')
        return _admission(view, customer, route)

    def check_running(self, now: float, sha256: str, customer: str) -> None:
        """Check that a running request may continue.

        Raises
        ------
        RunningConfigStaleError
            If the copy is not fresh, so that the key may have been revoked.
        RunningKeyWithdrawnError
            If the key was revoked, deleted or assigned to another customer.
        """
        if not self.is_fresh(now):
            raise RunningConfigStaleError(
                'the configuration copy may be out of date'
            )
        key = self.view.key_of(sha256)
        if key is None or key.spec['withdrawn']:
            raise RunningKeyWithdrawnError('the API key was revoked')
        if key.spec['customer'] != customer:
            raise RunningKeyWithdrawnError(
                'the API key belongs to another customer'
            )

    def _outcome_of(self, update: ConfigUpdate) -> str:
        if update.revision < self.view.revision:
            return OUTDATED
        if update.base is None:
            return APPLIED
        if self._needs_snapshot or update.base > self.view.revision:
            return GAP
        if update.revision == self.view.revision:
            return UNCHANGED
        return APPLIED

    def _replace_view(self, update: ConfigUpdate) -> None:
        if update.base is None:
            self.view = ConfigView.from_snapshot(update)
            self._needs_snapshot = False
        else:
            self.view = self.view.updated(update)


def _customer_of(view: ConfigView, sha256: str) -> str:
    key = view.key_of(sha256)
    if key is None:
        raise UnauthorizedError('unknown API key')
    if key.spec['withdrawn']:
        raise KeyWithdrawnError('the API key was revoked')
    return str(key.spec['customer'])


def _admission(
    view: ConfigView,
    customer: str | None,
    route: Resource,
) -> Admission:
    if not may_use(route, customer):
        raise RouteUnknownError('no such route')
    service_class = view.get('class', route.spec['class'])
    pool = view.get('pool', route.spec['pool'])
    if service_class is None or pool is None:
        raise RouteUnknownError('the class or pool of the route is missing')
    return Admission(
        customer=customer,
        route=route,
        service_class=service_class,
        pool=pool,
    )
