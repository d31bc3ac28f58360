"""Test of all provisioning duties over HTTP against the stand-ins."""

from __future__ import annotations

import random
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest
from platform_world import FakeState
from standin_calls import call

from apricotcart.provisioning.api import Answer, LeaseSource
from apricotcart.provisioning.authority import Authority, AuthorityTiming
from apricotcart.provisioning.backoff import KeyedBackoff
from apricotcart.provisioning.capacity import CapacityController
from apricotcart.provisioning.client import PlatformClient
from apricotcart.provisioning.fleet import FleetController
from apricotcart.provisioning.inventory import Inventory
from apricotcart.provisioning.leader import LeaderDuties
from apricotcart.provisioning.loading import LoadingRule, ModelLoader
from apricotcart.provisioning.orders import OrderBook
from apricotcart.provisioning.outbox import Outbox
from apricotcart.provisioning.placement import Placement, SpotRule
from apricotcart.provisioning.reporter import ReporterTiming, UsageReporter
from apricotcart.provisioning.sizing import SizingRule
from apricotcart_standins.options import build_parser
from apricotcart_standins.run import build_stand_in
from apricotcart_standins.web import Server

if TYPE_CHECKING:
    from collections.abc import Iterator

POOL = 'chat'


class LongLease(LeaseSource):
    """A lease that is always renewed."""

    def lease_expires_at(self) -> float:
        """Return the end of the lease."""
        return time.monotonic() + 60

    def term(self) -> int:
        """Return the term of the lease."""
        return 1


class Leader:
    """Runs the duties and sends their requests from threads."""

    def __init__(self, state: FakeState, platform_url: str) -> None:
        rng = random.Random(1)
        self.state = state
        outbox = Outbox()
        # The deadlines are long, so that no request fails on a slow machine.
        timing = AuthorityTiming(lease_s=0, in_flight_s=30)
        authority = Authority('c1', LongLease(), outbox, timing)
        authority.tick(0)
        for proposal in outbox.take_proposals():
            reply = state.commit(proposal.command)
            outbox.on_reply(time.monotonic() - 30, proposal.ticket, reply)
        reporter = UsageReporter(
            authority,
            outbox,
            state,
            KeyedBackoff(0.1, 1, rng),
            ReporterTiming(window_s=1, close_delay_s=0),
        )
        reporter.wall_time_s = time.time()
        inventory = Inventory(outbox)
        backoff = KeyedBackoff(0.1, 1, rng)
        templates = {
            POOL: {'slots': 8, 'checks_fencing': True, 'models': ['chat', 'm']}
        }
        fleet = FleetController(
            templates,
            state,
            inventory,
            authority,
            outbox,
            KeyedBackoff(1, 1, rng),
        )
        capacity = CapacityController(
            {POOL: SizingRule(min_endpoints=1, max_endpoints=1)},
            state,
            inventory,
            Placement(SpotRule(), backoff),
            OrderBook(authority, outbox, backoff),
            fleet,
            outbox,
        )
        loading = ModelLoader(
            LoadingRule(rate=10),
            state,
            authority,
            outbox,
            KeyedBackoff(0.1, 1, rng),
        )
        self.duties = LeaderDuties(
            authority, outbox, [inventory, reporter, capacity, fleet, loading]
        )
        self.client = PlatformClient(platform_url, self.duties.deadline_for)
        self.waiting: dict[int, Future[Answer]] = {}

    def step(self, pool: ThreadPoolExecutor) -> None:
        """Run one iteration of the control host's loop."""
        now = time.monotonic()
        for ticket in list(self.waiting):
            if self.waiting[ticket].done():
                answer = self.waiting.pop(ticket).result()
                self.duties.on_answer(now, ticket, answer)
        self.duties.tick(now)
        for proposal in self.duties.take_proposals():
            reply = self.state.commit(proposal.command)
            self.duties.on_reply(now, proposal.ticket, reply)
        for request in self.duties.take_requests():
            sent = pool.submit(self.client.send, request)
            self.waiting[request.ticket] = sent
        time.sleep(0.02)


@pytest.fixture
def servers() -> Iterator[list[str]]:
    """Yield the URLs of an engine and of a platform that provides it."""
    started: list[Server] = []

    def start(*arguments: str) -> str:
        options = build_parser().parse_args(list(arguments))
        server = Server(('127.0.0.1', 0), build_stand_in(options))
        started.append(server)
        threading.Thread(
            target=server.serve_forever, args=(0.02,), daemon=True
        ).start()
        return server.url

    engine = start('engine', '--load-s', '0')
    yield [engine, start('platform', '--start-delay-s', '0', '--urls', engine)]
    for server in started:
        server.shutdown()
        server.server_close()


def test_duties_over_http(servers: list[str]) -> None:
    """Guards against fields that the receivers do not understand."""
    engine, platform = servers
    state = FakeState()
    state.add_usage(0, 'a', 3)
    leader = Leader(state, platform)
    with ThreadPoolExecutor(4) as pool:
        while len(call('GET', f'{engine}/v1/models')['data']) < 2:
            leader.step(pool)
        while not state.reported:
            leader.step(pool)
    reports = call('GET', f'{platform}/usage')['usage']
    assert [report['calls'] for report in reports] == [3]
    orders = call('GET', f'{platform}/endpoints/orders')['orders']
    assert [(order['holder'], order['fencing']) for order in orders] == [
        ('c1', 1)
    ]
    assert list(state.resources) == ['auto-ep-1']
