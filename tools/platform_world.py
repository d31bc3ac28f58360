"""Simulated hosts, replicated state and platform for the platform tests."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from itertools import count
from typing import Any

from apricotcart.provisioning.api import (
    EXPIRED,
    NO_ANSWER,
    Answer,
    EndpointResource,
    FleetView,
    LeaseSource,
    Request,
    UsageFigures,
    UsageView,
)
from apricotcart.provisioning.authority import Authority, AuthorityTiming
from apricotcart.provisioning.backoff import KeyedBackoff
from apricotcart.provisioning.capacity import CapacityController
from apricotcart.provisioning.fleet import FleetController
from apricotcart.provisioning.inventory import Inventory
from apricotcart.provisioning.leader import LeaderDuties
from apricotcart.provisioning.orders import OrderBook
from apricotcart.provisioning.outbox import Outbox
from apricotcart.provisioning.placement import Placement, SpotRule
from apricotcart.provisioning.reporter import ReporterTiming, UsageReporter
from apricotcart.provisioning.sizing import SizingRule
from apricotcart_standins.cloud.platform import Platform
from apricotcart_standins.options import build_parser

STEP_S = 0.05
LEASE_S = 2.0
POOL = 'chat'
WINDOW_S = 5.0


class FakeState(UsageView, FleetView):
    """Committed state: fencing number, usage table and resources."""

    def __init__(self) -> None:
        self.fencing = 0
        self.open: dict[tuple[int, str], int] = {}
        self.closed: dict[int, dict[str, int]] = {}
        self.reported: set[tuple[int, str]] = set()
        self.resources: dict[str, EndpointResource] = {}
        self.statuses: dict[str, dict[str, Any]] = {}
        self.demand: float = 0
        self.in_flight_by_endpoint: dict[str, int] = {}

    def open_windows(self) -> list[int]:
        """Return the windows that are not closed."""
        return sorted({window for window, _ in self.open})

    def unreported(self) -> list[UsageFigures]:
        """Return the unreported figures of closed windows."""
        return [
            build_usage_figures(window, customer, calls)
            for window, by_customer in self.closed.items()
            for customer, calls in by_customer.items()
            if (window, customer) not in self.reported
        ]

    def endpoints(self) -> list[EndpointResource]:
        """Return all endpoint resources."""
        return list(self.resources.values())

    def slots_needed(self, pool: str) -> float:
        """Return the demand that the test has set."""
        return self.demand

    def in_flight(self, endpoint: str) -> int:
        """Return the requests in flight that the test has set."""
        return self.in_flight_by_endpoint.get(endpoint, 0)

    def add_usage(self, window: int, customer: str, calls: int) -> None:
        """Add calls; those for a closed window count in the next open one."""
        while window in self.closed:
            window += 1
        key = (window, customer)
        self.open[key] = self.open.get(key, 0) + calls

    def commit(self, command: dict[str, Any]) -> dict[str, Any]:
        """Apply one command and return its reply."""
        apply = getattr(self, '_{0}'.format(command['kind']))
        return {'ok': True, **(apply(command) or {})}

    def _fencing_take(self, command: dict[str, Any]) -> dict[str, Any]:
        self.fencing += 1
        return {'fencing': self.fencing}

    def _usage_close(self, command: dict[str, Any]) -> None:
        window = command['window']
        self.closed.setdefault(window, {})
        for key in list(self.open):
            if key[0] == window:
                self.closed[window][key[1]] = self.open.pop(key)

    def _usage_reported(self, command: dict[str, Any]) -> None:
        self.reported.add((command['window'], command['customer']))

    def _set_status(self, command: dict[str, Any]) -> None:
        self.statuses[command['name']] = command['status']

    def _apply(self, command: dict[str, Any]) -> None:
        for change in command['changes']:
            version = change['expected_version']
            known = self.resources.get(change['name'])
            known_version = known.version if known else 0
            assert version == known_version
            self.resources[change['name']] = EndpointResource(
                name=change['name'], version=version + 1, spec=change['spec']
            )

    def _delete(self, command: dict[str, Any]) -> None:
        self.resources.pop(command['name'], None)


class UncommittedUsage(FakeState):
    """Naive variant: reports windows that ended but were never closed."""

    def unreported(self) -> list[UsageFigures]:
        """Return the present figures of open windows."""
        return [
            build_usage_figures(window, customer, calls)
            for (window, customer), calls in self.open.items()
            if (window, customer) not in self.reported
        ]

    def open_windows(self) -> list[int]:
        """Return no windows, so that none is closed."""
        return []


class FakeHost(LeaseSource):
    """A control host with a clock that can be paused."""

    def __init__(self, name: str, world: World) -> None:
        """Build the leader's duties."""
        self.name = name
        self.world = world
        self.known_term = 0
        self.lease_until: float = 0
        self.frozen_until: float = 0
        self.clock_lag: float = 0
        self.is_cut = False
        self.inbox: list[tuple[int, Answer]] = []
        self.queue: list[Request] = []
        outbox = Outbox()
        state = world.state
        rng = random.Random(name)
        authority = Authority(name, self, outbox, world.timing)
        self.reporter = UsageReporter(
            authority,
            outbox,
            state,
            KeyedBackoff(0.5, 5, rng),
            ReporterTiming(window_s=WINDOW_S, close_delay_s=1),
        )
        inventory = Inventory(outbox)
        backoff = KeyedBackoff(world.first_backoff_s, 60, rng)
        fleet = FleetController(
            world.templates,
            state,
            inventory,
            authority,
            outbox,
            KeyedBackoff(1, 60, rng),
        )
        capacity = CapacityController(
            {POOL: world.rule},
            state,
            inventory,
            Placement(world.spot, backoff),
            OrderBook(authority, outbox, backoff),
            fleet,
            outbox,
        )
        self.duties = LeaderDuties(
            authority, outbox, [inventory, self.reporter, capacity, fleet]
        )

    def lease_expires_at(self) -> float:
        """Return the end of the lease on this host's clock."""
        return self.lease_until

    def term(self) -> int:
        """Return the latest term that this host has learned."""
        return self.known_term

    def clock(self) -> float:
        """Return the time on this host's monotonic clock."""
        return self.world.now - self.clock_lag

    def freeze(self, duration_s: float, *, with_clock: bool = False) -> None:
        """Suspend the process and, with ``with_clock``, its clock."""
        self.frozen_until = self.world.now + duration_s
        if with_clock:
            self.clock_lag += duration_s

    def step(self) -> None:
        """Run one round of the duties unless frozen."""
        if self.world.now < self.frozen_until:
            return
        self.reporter.wall_time_s = self.world.now
        for ticket, answer in self._drain_inbox():
            self.duties.on_answer(self.clock(), ticket, answer)
        self.duties.tick(self.clock())
        for proposal in self.duties.take_proposals():
            reply = self.world.commit(self, proposal.command)
            self.duties.on_reply(self.clock(), proposal.ticket, reply)
        # Requests are sent one step after the decision, as a thread pool
        # would, so that a freeze may fall between decision and check.
        waiting = self.queue
        self.queue = self.duties.take_requests()
        for request in waiting:
            self._send(request)

    def _drain_inbox(self) -> list[tuple[int, Answer]]:
        answers = self.inbox
        self.inbox = []
        return answers

    def _send(self, request: Request) -> None:
        now = self.clock()
        deadline = self.duties.deadline_for(now, request)
        if self.world.skips_permit:
            deadline = now + 1
        if deadline is None:
            self.inbox.append((request.ticket, Answer(code=EXPIRED)))
        else:
            self.world.transmit(self, request, deadline - now)


class World:
    """Hosts, committed state and platform on one simulated clock.

    Parameters
    ----------
    seed : int
        Seed of the delays and lost answers.
    options : tuple of str
        Command line options of the platform stand-in.
    timing : AuthorityTiming or None
        Waits of the authority.
    skips_permit : bool
        Naive variant: send without the check right before the send.
    state : FakeState or None
        Committed state.
    """

    def __init__(
        self,
        seed: int,
        *options: str,
        timing: AuthorityTiming | None = None,
        skips_permit: bool = False,
        state: FakeState | None = None,
        rule: SizingRule | None = None,
        spot: SpotRule | None = None,
        first_backoff_s: float = 2,
    ) -> None:
        """Start with three hosts and no leader."""
        self.now: float = 0
        self.rng = random.Random(seed)
        self.timing = timing
        self.skips_permit = skips_permit
        self.state = state or FakeState()
        self.rule = rule or SizingRule(
            lead_time_s=0, release_after_s=20, min_endpoints=0
        )
        self.spot = spot or SpotRule()
        self.first_backoff_s = first_backoff_s
        self.templates = {
            POOL: {'slots': 8, 'checks_fencing': True, 'models': []}
        }
        parsed = build_parser().parse_args(['platform', *options])
        parsed.urls = parsed.urls or ','.join(f'http://e{n}' for n in range(99))
        self.platform = Platform(parsed, lambda: self.now)
        self.answer_loss: float = 0
        self.commands: Counter[str] = Counter()
        self.refused_kind = ''
        self.delay_s: float | None = None
        self.term = 0
        self.leader: FakeHost | None = None
        self._in_transit: list[tuple[float, int, FakeHost, Request]] = []
        self._order = count()
        self.hosts = [FakeHost(name, self) for name in ('c1', 'c2', 'c3')]

    def elect(self, host: FakeHost) -> None:
        """Make a host leader; the old one keeps its lease until it expires."""
        self.term += 1
        self.leader = host
        host.known_term = self.term

    def run(self, duration_s: float) -> None:
        """Run for some simulated seconds."""
        until = self.now + duration_s
        while self.now < until:
            self.step()

    def run_until_orders_wait(self, host: FakeHost) -> None:
        """Run until a host has decided on orders but not sent them."""
        for _ in range(1000):
            self.step()
            if any(request.fenced for request in host.queue):
                return
        raise AssertionError('no order was queued within 1000 steps')

    def step(self) -> None:
        """Run one step of all hosts and of the network."""
        self.now += STEP_S
        for host in self.hosts:
            self._exchange_heartbeat(host)
            host.step()
        while self._in_transit and self._in_transit[0][0] <= self.now:
            _, _, host, request = heapq.heappop(self._in_transit)
            self._deliver(host, request)

    def commit(
        self, host: FakeHost, command: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Commit a command if the host leads and reaches a quorum."""
        if host is not self.leader or host.is_cut:
            return None
        self.commands[command['kind']] += 1
        if command['kind'] == self.refused_kind:
            return {'ok': False, 'code': 'invalid'}
        return self.state.commit(command)

    def transmit(
        self, host: FakeHost, request: Request, max_delay_s: float
    ) -> None:
        """Send a request; it arrives within the given time."""
        delay_s = self.rng.uniform(0, max_delay_s)
        if self.delay_s is not None:
            delay_s = min(self.delay_s, max_delay_s)
        # A host frozen between its check and the write sends when it resumes.
        start = max(self.now, host.frozen_until)
        heapq.heappush(
            self._in_transit,
            (start + delay_s, next(self._order), host, request),
        )

    def accepted_fencing(self) -> list[int]:
        """Return the fencing numbers of orders and reports not refused."""
        return [
            record['fencing']
            for record in self._arrived_records()
            if record['status'] != 409
        ]

    def arrived_fencing(self) -> list[int]:
        """Return the fencing numbers of all requests in order of arrival."""
        return [record['fencing'] for record in self._arrived_records()]

    def endpoint_count(self, **fields: Any) -> int:
        """Count the endpoints at the platform with these fields."""
        return sum(
            all(endpoint[name] == fields[name] for name in fields)
            for endpoint in self.platform.zones.list_endpoints()
        )

    def refused_orders(self) -> int:
        """Count the orders refused for lack of capacity."""
        return sum(
            record['status'] == 503 for record in self.platform.orders.records
        )

    def usage_conflicts(self) -> list[tuple[int, str]]:
        """Return windows and customers accepted with different figures."""
        figures: dict[tuple[int, str], set[int]] = {}
        for record in self.platform.usage.records:
            if record['status'] != 409:
                key = (record['window'], record['customer'])
                figures.setdefault(key, set()).add(record['calls'])
        return [key for key, seen in figures.items() if len(seen) > 1]

    def _arrived_records(self) -> list[dict[str, Any]]:
        records = self.platform.orders.records + self.platform.usage.records
        return sorted(records, key=lambda record: record['at'])

    def _exchange_heartbeat(self, host: FakeHost) -> None:
        if host.is_cut or self.now < host.frozen_until:
            return
        if host is self.leader:
            host.lease_until = host.clock() + LEASE_S
        elif self._is_likely(0.05):
            host.known_term = self.term
            host.lease_until = 0

    def _is_likely(self, probability: float) -> bool:
        return self.rng.random() < probability

    def _deliver(self, host: FakeHost, request: Request) -> None:
        status, body = self.platform.answer(
            request.method, request.path, dict(request.body)
        )
        code = body.get('error', {}).get('code', '')
        answer = Answer(status=status, body=body, code=code)
        if self._is_likely(self.answer_loss):
            answer = Answer(code=NO_ANSWER)
        host.inbox.append((request.ticket, answer))


def build_usage_figures(window: int, customer: str, calls: int) -> UsageFigures:
    """Build usage figures with a number of calls."""
    return UsageFigures(
        window=window,
        customer=customer,
        tokens_in=calls * 10,
        tokens_out=calls * 5,
        calls=calls,
    )
