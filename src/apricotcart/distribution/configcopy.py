"""The configuration copy that an entry host holds."""

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

#: Time from the start of a sync for which its reply proves the copy fresh.
#: Together with the check of running streams every 0.2 s, a revoked key
#: stops working within 5 s.
FRESH_FOR_S: Final = 4.0

APPLIED: Final = 'applied'
UNCHANGED: Final = 'unchanged'
OUTDATED: Final = 'outdated'
GAP: Final = 'gap'


class Admission:
    """What a request was admitted with, all of one revision.

    Attributes
    ----------
    customer : str or None
        Customer of the key; None for a public route without a key.
    route, service_class, pool : Resource
        The route and what it names.
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
        """Keep the fields."""
        self.customer = customer
        self.route = route
        self.service_class = service_class
        self.pool = pool


class ConfigCopy:
    """A copy that never goes back and is used only while fresh.

    One thread applies updates; any thread may read, since a view is
    replaced as a whole.

    Attributes
    ----------
    view : ConfigView
        The latest revision held, fresh or not.
    synced_from : float
        Monotonic start, in s, of the last sync whose reply proved the copy
        current; minus infinity before the first.
    """

    __slots__ = ('_needs_snapshot', 'synced_from', 'view')

    def __init__(self) -> None:
        """Start empty and not fresh."""
        self.view = ConfigView.from_snapshot(
            ConfigUpdate(base=None, revision=0),
        )
        self.synced_from = -math.inf
        self._needs_snapshot = True

    @property
    def held(self) -> int | None:
        """Give the revision to send in a sync, None to ask for a snapshot."""
        return None if self._needs_snapshot else self.view.revision

    def apply(self, update: ConfigUpdate, started_at: float) -> str:
        """Apply the update of a sync reply.

        An update below the revision held is ignored and proves nothing: it
        is a delayed reply, or one of a host that lost its state. Changes
        that start above the revision held are a gap; the next sync asks for
        a snapshot.

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
        self.synced_from = max(self.synced_from, started_at)
        return outcome

    def is_fresh(self, now: float) -> bool:
        """Say whether the copy may be used."""
        return now < self.synced_from + FRESH_FOR_S

    def admit(
        self,
        now: float,
        *,
        sha256: str | None,
        route_kind: str,
        route_name: str,
    ) -> Admission:
        """Look up what a new request needs.

        Parameters
        ----------
        now : float
            Monotonic time in s.
        sha256 : str or None
            Digest of the key's secret; None for a request without a key.
        route_kind, route_name : str
            ``chat`` or ``service``, and the route's name.

        Raises
        ------
        ConfigStaleError
            If the copy is not fresh.
        UnauthorizedError
            If there is no key and the route is not public, or the key is
            not known.
        KeyWithdrawnError
            If the key was revoked.
        RouteUnknownError
            If there is no such route for the customer.
        """
        if not self.is_fresh(now):
            raise ConfigStaleError('configuration is too old')
        view = self.view
        customer = None if sha256 is None else _customer_of(view, sha256)
        route = view.get('route', route_name)
        if customer is None and not (route and route.spec['public']):
            raise UnauthorizedError('a key is required')
        if route is None or route.spec['kind'] != route_kind:
            raise RouteUnknownError('no such route')
        return _admission(view, customer, route)

    def check_running(self, now: float, sha256: str, customer: str) -> None:
        """Check that a running request may go on.

        Raises
        ------
        RunningConfigStaleError
            If the copy is not fresh, so the key may be revoked.
        RunningKeyWithdrawnError
            If the key is revoked, deleted or of another customer by now.
        """
        if not self.is_fresh(now):
            raise RunningConfigStaleError('configuration is too old')
        key = self.view.key_of(sha256)
        if key is None or key.spec['withdrawn']:
            raise RunningKeyWithdrawnError('the key was revoked')
        if key.spec['customer'] != customer:
            raise RunningKeyWithdrawnError('the key was given away')

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
        raise UnauthorizedError('the key is not known')
    if key.spec['withdrawn']:
        raise KeyWithdrawnError('the key was revoked')
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
        raise RouteUnknownError('the route is not complete')
    return Admission(
        customer=customer,
        route=route,
        service_class=service_class,
        pool=pool,
    )
