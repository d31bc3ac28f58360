"""Keeps an entry host in step with the control hosts."""

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
from apricotcart.entry.host_answers import HostAnswers
from apricotcart.errors.tree import ApricotcartError
from apricotcart.membership.drain import EndpointDrain
from apricotcart.membership.records import SERVING, HostList
from apricotcart.scheduling.records import Customer, ServiceClass
from apricotcart.scheduling.scheduler import Scheduler

_LOG = logging.getLogger(__name__)
_SYNC_TIMEOUT_S = 1.5


class HostIdentity:
    """What an entry host says of itself in each sync.

    Attributes
    ----------
    name, zone, url : str
        Name, availability zone and address for callers.
    incarnation : int
        Start of the process in milliseconds of wall time.
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
        """Give the fields of a sync message."""
        return {
            'host': self.name,
            'zone': self.zone,
            'address': self.url,
            'incarnation': self.incarnation,
            'state': self.state,
        }


class Synchronizer:
    """Asks the leader for news and applies them.

    Parameters
    ----------
    identity : HostIdentity
        Who asks.
    link : ControlLink
        Leads to the control hosts.
    held : ConfigCopy
        The configuration copy.
    dispatcher : Dispatcher
        Gets the new tables and this host's shares.
    hosts : HostAnswers
        Gets the list of entry hosts.
    drain : EndpointDrain
        Gets the endpoints that may have new work.
    """

    __slots__ = (
        '_applied_revision',
        '_dispatcher',
        '_drain',
        '_held',
        '_hosts',
        '_identity',
        '_link',
        '_lock',
        '_paused',
        'failures',
    )

    def __init__(
        self,
        *,
        identity: HostIdentity,
        link: ControlLink,
        held: ConfigCopy,
        dispatcher: Dispatcher,
        hosts: HostAnswers,
        drain: EndpointDrain,
    ) -> None:
        """Keep the parts."""
        self._identity = identity
        self._link = link
        self._held = held
        self._dispatcher = dispatcher
        self._hosts = hosts
        self._drain = drain
        self._paused = False
        self._applied_revision = -1
        self._lock = threading.Lock()
        self.failures = 0

    def sync(self) -> bool:
        """Ask once and apply the reply; False if there was none."""
        with self._lock:
            # The reply proves the copy fresh from here on, not from its
            # arrival: it may have waited on the way.
            started_at = time.monotonic()
            try:
                reply = self._link.call(self._message(), _SYNC_TIMEOUT_S)
            except ApricotcartError as exc:
                self.failures += 1
                _LOG.warning('sync failed: %s', exc)
                return False
            return self._apply(reply, started_at)

    def hold_if_unsure(self) -> None:
        """Let requests wait while endpoints may be draining unknown to us."""
        now = time.monotonic()
        if self._paused or self._drain.eligible(now):
            return
        self._paused = True
        self._dispatcher.notify(
            lambda scheduler, at: scheduler.set_share(at, {}),
        )

    def _message(self) -> dict[str, Any]:
        message = self._identity.to_wire()
        message['kind'] = 'sync'
        message['revision'] = self._held.held
        message['hosts'] = self._hosts.held()
        message.update(self._dispatcher.notify(_measured))
        return message

    def _apply(self, reply: dict[str, Any], started_at: float) -> bool:
        if not reply.get('ok'):
            _LOG.warning('sync refused: %s', reply.get('message'))
            return False
        update = ConfigUpdate.from_bytes(reply['update'])
        self._held.apply(update, started_at)
        if self._held.view.revision != self._applied_revision:
            self._configure()
        self._hosts.apply(HostList.from_wire(reply['hosts']), started_at)
        self._drain.confirm(self._held.synced_from)
        self._dispatcher.notify(
            lambda scheduler, now: _apply_shares(scheduler, now, reply),
        )
        self._paused = False
        return True

    def _configure(self) -> None:
        view = self._held.view
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
        self._drain.update(
            view.all_of('endpoint').values(),
            self._held.synced_from,
        )
        self._applied_revision = view.revision


def _measured(scheduler: Scheduler, now: float) -> dict[str, Any]:
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
        scheduler.set_share(now, reply['shares'])
