"""Tests of the duty runner with a fake clock."""

from __future__ import annotations

import logging
from collections.abc import Callable
from concurrent.futures import Future
from types import SimpleNamespace
from typing import Any

import pytest
from control.fakes import FakeLoop, unknown_outcome_error

from apricotcart.control.duties import DutyRunner
from apricotcart.control.duty_plan import DutyPlan
from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.platform_views import CommittedFleet
from apricotcart.provisioning.api import EXPIRED, Answer, Request
from apricotcart.state.machine import ClusterState

Job = Callable[..., None]
QueuedJob = tuple[Future[None], Job, Any]

ORDERS = '/endpoints/orders'
TICK_S = 0.1
# Lease of the previous holder plus the time limit of its calls in flight.
TAKEOVER_DELAY_S = 3.0
ANSWERS: dict[str, Any] = {
    '/endpoints': {'endpoints': []},
    '/prices': {'zones': {'a': {'regular': 1.0, 'cheap': 1.0}}},
    '/hosts': {'hosts': []},
}


class FakeExecutor:
    """Queues jobs until the test runs them."""

    def __init__(self, *args: Any) -> None:
        """Initialize without jobs."""
        self.jobs: list[QueuedJob] = []

    def submit(self, job: Job, *args: Any) -> Future[None]:
        """Queue a job."""
        fut: Future[None] = Future()
        self.jobs.append((fut, job, args))
        return fut

    def run(self) -> None:
        """Run all queued jobs."""
        jobs = self.jobs
        self.jobs = []
        for fut, job, args in jobs:
            try:
                fut.set_result(job(*args))
            except Exception as exc:
                fut.set_exception(exc)


class RunnerHarness:
    """A duty runner with a fake clock and a platform that records requests."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        """Initialize a leader with one pool."""
        self.now: float = 0
        self.executor = FakeExecutor()
        self.sent: list[tuple[float, Request]] = []
        clock = SimpleNamespace(time=lambda: self.now)
        control = 'apricotcart.control'
        patch.setattr(f'{control}.duties.boot_clock_s', lambda: self.now)
        patch.setattr(f'{control}.duty_plan.boot_clock_s', lambda: self.now)
        patch.setattr(f'{control}.duty_plan.time', clock)
        patch.setattr(
            f'{control}.duties.ThreadPoolExecutor', lambda *_: self.executor
        )
        patch.setattr(f'{control}.duties.PlatformClient', self._client)
        self.loop = FakeLoop(ClusterState())
        fake: Any = self.loop
        cfg: Any = SimpleNamespace(
            host=SimpleNamespace(name='a'),
            timing=SimpleNamespace(send_timeout_s=1.0),
        )
        hosts = EntryHosts(0)
        fleet = CommittedFleet(fake, self.loop.state, hosts)
        plan = DutyPlan(cfg, fake, self.loop.state, fleet, hosts)
        self.declare(4)
        self.runner = DutyRunner('http://127.0.0.1:1', plan, fake)

    def declare(self, slots: int) -> None:
        """Declare the pool with the given number of slots per endpoint."""
        spec = {
            'kind': 'engine',
            'max_queue': 9,
            'min_endpoints': 1,
            'max_endpoints': 2,
            'endpoint_slots': slots,
        }
        change = {
            'kind': 'pool',
            'name': 'gpu',
            'expected_version': None,
            'spec': spec,
        }
        command = {'kind': 'apply', 'op_id': f's{slots}', 'changes': [change]}
        assert self.loop.propose(command, 1)['ok']

    def tick(self) -> None:
        """Advance the clock and tick the runner once."""
        self.now += TICK_S
        self.runner._tick()

    def run(self, seconds: float) -> None:
        """Run ticks and queued jobs for a time."""
        for _ in range(round(seconds / TICK_S)):
            self.tick()
            self.executor.run()

    def run_until_order_is_queued(self) -> None:
        """Run until the send of an order is queued but not yet run."""
        while not any(
            request.path == ORDERS for request in self.queued_requests()
        ):
            self.executor.run()
            self.tick()
            assert self.now < 60

    def queued_requests(self) -> list[Request]:
        """Return the requests of the queued jobs."""
        return [
            argument
            for _, _, arguments in self.executor.jobs
            for argument in arguments
            if isinstance(argument, Request)
        ]

    def orders(self) -> list[tuple[float, int]]:
        """Return time and fencing token of the orders that were sent."""
        return [
            (at, request.body['fencing'])
            for at, request in self.sent
            if request.path == ORDERS
        ]

    def _client(self, url: str, permit: Any) -> Any:
        def send(request: Request) -> Answer:
            if permit(self.now, request) is None:
                return Answer(code=EXPIRED)
            self.sent.append((self.now, request))
            return Answer(status=200, body=ANSWERS.get(request.path, {}))

        return SimpleNamespace(send=send)


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> RunnerHarness:
    """Return a runner on a leader that holds the lease."""
    return RunnerHarness(monkeypatch)


def test_rebuild_takes_new_token(harness: RunnerHarness) -> None:
    """Guards against one fencing token used before and after a rebuild."""
    harness.run(6)
    before = harness.orders()
    assert {fencing for _, fencing in before} == {1}
    assert before[0][0] >= TAKEOVER_DELAY_S
    rebuilt_at = harness.now
    harness.declare(5)
    harness.run(20)
    after = harness.orders()[len(before) :]
    assert {fencing for _, fencing in after} == {2}
    assert after[0][0] >= rebuilt_at + TAKEOVER_DELAY_S
    assert harness.loop.state.tables.fencing.token == 2


def test_rebuild_stops_old_requests(harness: RunnerHarness) -> None:
    """Guards against sending a request decided before the rebuild."""
    harness.run_until_order_is_queued()
    harness.declare(5)
    harness.tick()
    harness.executor.run()
    assert not harness.orders()
    harness.run(20)
    assert {fencing for _, fencing in harness.orders()} == {2}


def test_lost_lease_stops_sends(harness: RunnerHarness) -> None:
    """Guards against requests sent after the lease has expired."""
    harness.run_until_order_is_queued()
    harness.loop.lease = 0
    harness.executor.run()
    assert not harness.orders()
    sent = len(harness.sent)
    harness.run(10)
    assert len(harness.sent) == sent


def test_lost_lease_drops_late_reply(harness: RunnerHarness) -> None:
    """Guards against use of a token committed after the lease was lost."""
    harness.tick()
    harness.loop.lease = 0
    harness.tick()
    harness.executor.run()
    assert harness.loop.state.tables.fencing.token == 1
    harness.loop.lease = 1e12
    harness.loop.term_no = 2
    harness.run(20)
    assert {fencing for _, fencing in harness.orders()} == {2}


def test_token_with_unknown_outcome_is_not_used(harness: RunnerHarness) -> None:
    """Guards against use of a token whose commit is not confirmed."""
    harness.loop.lost_reply = unknown_outcome_error()
    harness.run(10)
    assert not harness.orders()
    harness.loop.lost_reply = None
    taken = harness.loop.state.tables.fencing.token
    harness.run(10)
    assert {fencing for _, fencing in harness.orders()} == {taken + 1}


def test_malformed_answer_is_logged(
    harness: RunnerHarness,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against worker exceptions that are not logged."""
    monkeypatch.setitem(ANSWERS, '/hosts', {'hosts': [{}]})
    with caplog.at_level(logging.ERROR):
        harness.run(6)
    assert 'a duty failed' in caplog.text
    assert harness.orders()
