"""Reconciles endpoint resources with the endpoints at the platform."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Any

from apricotcart.provisioning.api import LeaderTask
from apricotcart.provisioning.inventory import RECLAIMING, RUNNING
from apricotcart.provisioning.proposals import apply_endpoint, delete_endpoint
from apricotcart.provisioning.releases import Releases

if TYPE_CHECKING:
    from collections.abc import Mapping

    from apricotcart.provisioning.api import (
        EndpointResource,
        FleetView,
    )
    from apricotcart.provisioning.authority import Authority
    from apricotcart.provisioning.backoff import KeyedBackoff
    from apricotcart.provisioning.inventory import Inventory
    from apricotcart.provisioning.outbox import Outbox, Reply

# Prefix of the resources of provisioned endpoints. All other resources belong
# to the operators and are never changed here.
NAME_PREFIX = 'auto-'
# A draining endpoint may get new work for up to 3 s. It is released once it has
# had no request in flight for this long.
RELEASE_IDLE_S = 3.0
# The resource of an endpoint that the platform has not listed for this long is
# deleted.
ABSENT_TIMEOUT_S = 10.0
# Commands on resources that may wait for their replies at the same time, so
# that a recovered zone does not flood the replicated log.
MAX_PENDING_CHANGES = 64


class FleetController(LeaderTask):
    """Registers started endpoints, drains and releases retired ones.

    All decisions follow from the committed resources and the platform's
    list, so that a new leader continues where its predecessor stopped.

    Parameters
    ----------
    templates : mapping
        By pool, the spec fields that the platform does not provide:
        ``slots``, ``checks_fencing`` and ``models``.
    fleet_view : FleetView
        Endpoint resources and requests in flight.
    inventory : Inventory
        Endpoints at the platform.
    authority : Authority
        Provides the fencing token.
    outbox : Outbox
        Queue of outgoing commands and releases.
    backoff : KeyedBackoff
        Back-off after refused commands, by resource.
    """

    __slots__ = (
        '_absent_since',
        '_authority',
        '_backoff',
        '_pending',
        '_idle_since',
        '_fleet_view',
        '_inventory',
        '_op_numbers',
        '_outbox',
        '_releases',
        '_retired',
        '_templates',
    )

    def __init__(
        self,
        templates: Mapping[str, Mapping[str, Any]],
        fleet_view: FleetView,
        inventory: Inventory,
        authority: Authority,
        outbox: Outbox,
        backoff: KeyedBackoff,
    ) -> None:
        self._backoff = backoff
        self._templates = templates
        self._fleet_view = fleet_view
        self._inventory = inventory
        self._authority = authority
        self._outbox = outbox
        self._op_numbers = count(1)
        self._releases = Releases(authority, outbox, inventory)
        self._pending: set[str] = set()
        self._retired: set[str] = set()
        self._absent_since: dict[str, float] = {}
        self._idle_since: dict[str, float] = {}

    def reset(self) -> None:
        """Discard the work in progress."""
        self._backoff.clear()
        self._pending.clear()
        self._releases.clear()
        self._retired.clear()
        self._absent_since.clear()
        self._idle_since.clear()

    def retired(self) -> set[str]:
        """Return the platform's names of draining or retired endpoints."""
        resources = _managed(self._fleet_view)
        draining = {
            name for name in resources if resources[name].spec['leaving']
        }
        return draining | self._retired

    def retire(self, endpoint: Mapping[str, Any]) -> None:
        """Start to drain and release an endpoint of the platform's list."""
        self._retired.add(endpoint['name'])

    def tick(self, now: float) -> None:
        """Reconcile the resources with the platform's list."""
        if not self._inventory.is_fresh(now, float('-inf')):
            return
        resources = _managed(self._fleet_view)
        listed = {
            endpoint['name']: endpoint
            for endpoint in self._inventory.endpoints
            if endpoint['pool'] in self._templates
        }
        self._retired.intersection_update(listed)
        for name in listed:
            self._reconcile(now, listed[name], resources.get(name))
        for name in resources:
            self._delete_if_absent(now, resources[name], name in listed)

    def _reconcile(
        self,
        now: float,
        endpoint: dict[str, Any],
        resource: EndpointResource | None,
    ) -> None:
        if resource is None:
            self._register_or_release(now, endpoint)
        elif not resource.spec['leaving']:
            self._drain_if_needed(now, endpoint, resource)
        elif endpoint['state'] == RUNNING:
            self._release_if_drained(now, endpoint['name'], resource)

    def _register_or_release(
        self,
        now: float,
        endpoint: dict[str, Any],
    ) -> None:
        name = endpoint['name']
        if name in self._retired:
            self._releases.send(name)
        elif endpoint['state'] == RUNNING and endpoint['url']:
            spec = {
                'pool': endpoint['pool'],
                'url': endpoint['url'],
                'zone': endpoint['zone'],
                'cheap': endpoint['cheap'],
                'leaving': False,
                **self._templates[endpoint['pool']],
            }
            self._apply(now, f'{NAME_PREFIX}{name}', 0, spec)

    def _drain_if_needed(
        self,
        now: float,
        endpoint: dict[str, Any],
        resource: EndpointResource,
    ) -> None:
        is_retired = endpoint['name'] in self._retired
        if is_retired or endpoint['state'] == RECLAIMING:
            spec = {**resource.spec, 'leaving': True}
            self._apply(now, resource.name, resource.version, spec)

    def _release_if_drained(
        self,
        now: float,
        name: str,
        resource: EndpointResource,
    ) -> None:
        if self._fleet_view.in_flight(resource.name):
            self._idle_since[name] = now
        idle_since = self._idle_since.setdefault(name, now)
        if now - idle_since >= RELEASE_IDLE_S:
            self._releases.send(name)

    def _delete_if_absent(
        self,
        now: float,
        resource: EndpointResource,
        is_listed: bool,
    ) -> None:
        if is_listed:
            self._absent_since.pop(resource.name, None)
            return
        absent_since = self._absent_since.setdefault(resource.name, now)
        if now - absent_since >= ABSENT_TIMEOUT_S:
            self._propose(
                now,
                resource.name,
                delete_endpoint(
                    self._op_id(),
                    resource.name,
                    resource.version,
                ),
            )

    def _apply(
        self,
        now: float,
        name: str,
        version: int,
        spec: dict[str, Any],
    ) -> None:
        command = apply_endpoint(self._op_id(), name, version, spec)
        self._propose(now, name, command)

    def _propose(
        self,
        now: float,
        name: str,
        command: dict[str, Any],
    ) -> None:
        if name in self._pending or len(self._pending) >= MAX_PENDING_CHANGES:
            return
        if self._backoff.is_backing_off(now, name):
            return
        self._pending.add(name)
        self._outbox.propose(
            command,
            lambda replied_at, reply: self._on_reply(replied_at, name, reply),
        )

    def _on_reply(self, now: float, name: str, reply: Reply) -> None:
        self._pending.discard(name)
        if reply and reply.get('ok'):
            self._backoff.record_success(name)
        else:
            self._backoff.record_failure(now, name)

    def _op_id(self) -> str:
        number = next(self._op_numbers)
        fencing = self._authority.fencing_token
        return f'fleet-{fencing}-{number}'


def _managed(fleet_view: FleetView) -> dict[str, EndpointResource]:
    return {
        resource.name.removeprefix(NAME_PREFIX): resource
        for resource in fleet_view.endpoints()
        if resource.name.startswith(NAME_PREFIX)
    }
