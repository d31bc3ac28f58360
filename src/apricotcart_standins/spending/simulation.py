"""Simulation of one pool and one capacity rule on the platform."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from apricotcart.provisioning.api import (
    Answer,
    EndpointResource,
    FleetView,
    LeaseSource,
)
from apricotcart.provisioning.authority import Authority
from apricotcart.provisioning.backoff import KeyedBackoff
from apricotcart.provisioning.capacity import CapacityController
from apricotcart.provisioning.fleet import FleetController
from apricotcart.provisioning.inventory import Inventory
from apricotcart.provisioning.leader import LeaderDuties
from apricotcart.provisioning.orders import OrderBook
from apricotcart.provisioning.outbox import Outbox
from apricotcart.provisioning.placement import Placement
from apricotcart_standins.cloud.platform import Platform
from apricotcart_standins.options import build_parser

if TYPE_CHECKING:
    from apricotcart.provisioning.placement import SpotRule
    from apricotcart.provisioning.sizing import SizingRule

POOL = 'chat'
START_DELAY_S = 60
SLOTS = 8

_LEASE_S = 2
_MAX_ENDPOINTS = 400
_INITIAL_BACKOFF_S = 5
_MAX_BACKOFF_S = 300


class ScriptedState(FleetView):
    """Endpoint resources with immediate commits, and a scripted demand."""

    __slots__ = ('_resources', 'demand')

    def __init__(self) -> None:
        """Initialize without endpoints and demand."""
        self._resources: dict[str, EndpointResource] = {}
        self.demand: float = 0

    def endpoints(self) -> list[EndpointResource]:
        """Return all endpoint resources."""
        return list(self._resources.values())

    def slots_needed(self, pool: str) -> float:
        """Return the scripted demand, in slots."""
        return self.demand

    def in_flight(self, endpoint: str) -> int:
        """Return 0, so that each endpoint drains at once."""
        return 0

    def commit(self, command: dict[str, Any]) -> dict[str, Any]:
        """Apply a command and return the reply."""
        for change in command.get('changes', ()):
            name = change['name']
            self._resources[name] = EndpointResource(
                name=name,
                version=change['expected_version'] + 1,
                spec=change['spec'],
            )
        if command['kind'] == 'delete':
            self._resources.pop(command['name'], None)
        return {'ok': True, 'fencing': 1}


def _endpoint_url(number: int) -> str:
    return f'http://engine-{number}'


class PermanentLease(LeaseSource):
    """Lease that is always renewed."""

    __slots__ = ('now',)

    def __init__(self) -> None:
        """Initialize the clock at 0 s."""
        self.now: float = 0

    def lease_expires_at(self) -> float:
        """Return the time at which the lease expires, in seconds."""
        return self.now + _LEASE_S

    def term(self) -> int:
        """Return the only term."""
        return 1


class Simulation:
    """Runs the capacity decisions and their effects on a scripted clock.

    Parameters
    ----------
    rule : SizingRule
        Sizing rule of the pool.
    spot : SpotRule
        Limits on spot endpoints.
    seed : int
        Seed of the backoff delays.
    max_endpoints : int
        Regular endpoints per zone, and base URLs of all zones together.
    """

    __slots__ = ('_duties', '_lease', 'now', 'platform', 'state')

    def __init__(
        self,
        rule: SizingRule,
        spot: SpotRule,
        seed: int,
        max_endpoints: int = _MAX_ENDPOINTS,
    ) -> None:
        """Initialize without endpoints."""
        self.now: float = 0
        self.state = ScriptedState()
        options = build_parser().parse_args(['platform'])
        options.start_delay_s = START_DELAY_S
        options.capacity = max_endpoints
        options.urls = ','.join(map(_endpoint_url, range(max_endpoints)))
        self.platform = Platform(options, lambda: self.now)
        self._lease = PermanentLease()
        self._duties = self._build_duties(rule, spot, random.Random(seed))

    def step(self, step_s: float, demand: float) -> None:
        """Advance the clock, and make and apply the decisions."""
        self.now += step_s
        self._lease.now = self.now
        self.state.demand = demand
        self._duties.tick(self.now)
        self._deliver_messages()
        # The second tick acts on the answers of the platform.
        self._duties.tick(self.now)
        self._deliver_messages()

    def _deliver_messages(self) -> None:
        for proposal in self._duties.take_proposals():
            reply = self.state.commit(proposal.command)
            self._duties.on_reply(self.now, proposal.ticket, reply)
        for request in self._duties.take_requests():
            status, body = self.platform.answer(
                request.method,
                request.path,
                dict(request.body),
            )
            code = body.get('error', {}).get('code', '')
            answer = Answer(status=status, body=body, code=code)
            self._duties.on_answer(self.now, request.ticket, answer)

    def _build_duties(
        self,
        rule: SizingRule,
        spot: SpotRule,
        rng: random.Random,
    ) -> LeaderDuties:
        outbox = Outbox()
        authority = Authority('c1', self._lease, outbox)
        inventory = Inventory(outbox)
        templates = {POOL: {'slots': SLOTS, 'checks_fencing': True}}
        backoff = KeyedBackoff(_INITIAL_BACKOFF_S, _MAX_BACKOFF_S, rng)
        fleet = FleetController(
            templates,
            self.state,
            inventory,
            authority,
            outbox,
            KeyedBackoff(_INITIAL_BACKOFF_S, _MAX_BACKOFF_S, rng),
        )
        capacity = CapacityController(
            {POOL: rule},
            self.state,
            inventory,
            Placement(spot, backoff),
            OrderBook(authority, outbox, backoff),
            fleet,
            outbox,
        )
        return LeaderDuties(authority, outbox, [inventory, capacity, fleet])
