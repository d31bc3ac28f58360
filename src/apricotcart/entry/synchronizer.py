"""Periodic synchronization of an entry host with the control hosts."""

from __future__ import annotations

import logging
import threading
import time
from typing import Any

from apricotcart.distribution.configcopy import ConfigCopy
from apricotcart.distribution.updates import ConfigUpdate
from apricotcart.endpoints.records import Endpoint
from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.dispatcher import Dispatcher
from apricotcart.entry.shared_directory import SharedHostDirectory
from apricotcart.errors.tree import ApricotcartError
from apricotcart.membership.drain import EndpointEligibility
from apricotcart.membership.records import SERVING, HostList
from apricotcart.scheduling.records import Customer, ServiceClass
from apricotcart.scheduling.scheduler import Scheduler

_LOG = logging.getLogger(__name__)
_SYNC_TIMEOUT_S = 1.5


class HostIdentity:
    """Identity of an entry host, sent in each sync.

    Attributes
    ----------
    name, zone, url : str
        Name, availability zone and address for callers.
    incarnation : int
        Start time of the process, in Unix milliseconds.
    state : str
        ``serving`` or ``leaving``.
    """

    __slots__ = ('incarnation', 'name', 'state', 'url', 'zone')

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        url: str,
        incarnation: int,
    ) -> None:
        """Start in the state ``serving``."""
        self.name = name
        self.zone = zone
        self.url = url
        self.incarnation = incarnation
        self.state = SERVING

    def to_wire(self) -> dict[str, Any]:
        """Return the fields of a sync message."""
        return {
            'host': self.name,
            'zone': self.zone,
            'address': self.url,
            'incarnation': self.incarnation,
            'state': self.state,
        }


class Synchronizer:
    """Syncs with the leader of the control hosts and applies its replies.

    Parameters
    ----------
    identity : HostIdentity
        Identity of this host.
    link : ControlLink
        Connection to the control hosts.
    config_copy : ConfigCopy
        The local configuration copy.
    dispatcher : Dispatcher
        Receives new configuration and the slots that this host may use.
    hosts : SharedHostDirectory
        Receives the list of entry hosts.
    eligibility : EndpointEligibility
        Receives the endpoints that accept new work.
    """

    __slots__ = (
        '_applied_revision',
        '_dispatcher',
        '_eligibility',
        '_config_copy',
        '_hosts',
        '_identity',
        '_link',
        '_lock',
        '_is_paused',
        'failures',
    )

    def __init__(
        self,
        *,
        identity: HostIdentity,
        link: ControlLink,
        config_copy: ConfigCopy,
        dispatcher: Dispatcher,
        hosts: SharedHostDirectory,
        eligibility: EndpointEligibility,
    ) -> None:
        self._identity = identity
        self._link = link
        self._config_copy = config_copy
        self._dispatcher = dispatcher
        self._hosts = hosts
        self._eligibility = eligibility
        self._is_paused = False
        self._applied_revision = -1
        self._lock = threading.Lock()
        self.failures = 0

    def sync(self) -> bool:
        """Sync once and apply the reply; return whether it succeeded."""
        with self._lock:
            # The copy counts as fresh from the start of the call, not from
            # the arrival of the reply, which may have been delayed.
            started_at = time.monotonic()
            try:
                reply = self._link.call(self._sync_message(), _SYNC_TIMEOUT_S)
            except ApricotcartError as exc:
                self.failures += 1
                _LOG.warning('sync failed: %s', exc)
                return False
            return self._apply(reply, started_at)

    def pause_if_drain_state_stale(self) -> None:
        """Stop dispatching while no endpoint is known to accept new work.

        Endpoints may be draining without this host having learned of it.
        Requests stay queued until the next successful sync.
        """
        now = time.monotonic()
        if self._is_paused or self._eligibility.eligible(now):
            return
        self._is_paused = True
        self._dispatcher.notify(
            lambda scheduler, at: scheduler.set_slot_limits(at, {}),
        )

    def _sync_message(self) -> dict[str, Any]:
        message = self._identity.to_wire()
        message['kind'] = 'sync'
        message['revision'] = self._config_copy.held_revision
        message['hosts'] = self._hosts.digest()
        message.update(self._dispatcher.notify(_demand_fields))
        return message

    def _apply(self, reply: dict[str, Any], started_at: float) -> bool:
        if not reply.get('ok'):
            _LOG.warning('sync refused: %s', reply.get('message'))
            return False
        update = ConfigUpdate.from_bytes(reply['update'])
        self._config_copy.apply(update, started_at)
        if self._config_copy.view.revision != self._applied_revision:
            self._configure()
        self._hosts.apply(HostList.from_wire(reply['hosts']), started_at)
        self._eligibility.confirm(self._config_copy.last_sync_started_at)
        self._dispatcher.notify(
            lambda scheduler, now: _apply_shares(scheduler, now, reply),
        )
        self._is_paused = False
        return True

    def _configure(self) -> None:
        view = self._config_copy.view
        classes = [
            ServiceClass.from_spec(name, resource.spec)
            for name, resource in view.all_of('class').items()
        ]
        customers = [
            Customer(name=name, weight=resource.spec['weight'])
            for name, resource in view.all_of('customer').items()
        ]
        endpoints = [
            Endpoint.from_spec(name, resource.spec)
            for name, resource in view.all_of('endpoint').items()
        ]
        queues = {
            name: resource.spec['max_queue']
            for name, resource in view.all_of('pool').items()
        }
        self._dispatcher.notify(
            lambda scheduler, now: scheduler.configure(
                now,
                classes,
                customers,
                endpoints,
                queues,
            ),
        )
        self._eligibility.update(
            view.all_of('endpoint').values(),
            self._config_copy.last_sync_started_at,
        )
        self._applied_revision = view.revision


def _demand_fields(scheduler: Scheduler, now: float) -> dict[str, Any]:
    return {
        'demand': scheduler.demand().to_wire(),
        'suspects': [
            report.to_wire() for report in scheduler.suspects.reports(now)
        ],
    }


def _apply_shares(
    scheduler: Scheduler,
    now: float,
    reply: dict[str, Any],
) -> None:
    scheduler.suspects.merge_wire(now, reply['suspects'])
    if reply['shares'] is not None:
        scheduler.set_slot_limits(now, reply['shares'])
