"""Failure tests of the scheduler.

Most tests have a counterpart in which the tested mechanism is switched off;
it shows that the mechanism is what prevents the failure.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest
from scheduling.conftest import CLASSES, MakeRequest, MakeScheduler

from apricotcart.endpoints import limits, suspects
from apricotcart.endpoints.records import Endpoint
from apricotcart.retries.policy import FailedAttempt, RetryPolicy
from apricotcart.scheduling import pools
from apricotcart.scheduling.config import SchedulerConfig
from apricotcart.scheduling.decisions import Dispatch, Shed
from apricotcart.scheduling.records import (
    Customer,
    QueuedRequest,
    ServiceClass,
)
from apricotcart.scheduling.scheduler import Scheduler

STEP_S = 0.1


class Load:
    """Load on a scheduler whose endpoints have a fixed service time."""

    def __init__(self, scheduler: Scheduler, service_s: float) -> None:
        self.scheduler = scheduler
        self.service_s = service_s
        self.now: float = 0
        self.arrived: dict[str, float] = {}
        self.requests: dict[str, QueuedRequest] = {}
        self.dispatches: list[tuple[float, str]] = []
        self.sheds: list[tuple[float, str]] = []
        self.ends: list[tuple[float, str]] = []
        self.one_customer = False

    def run(self, until: float, arrivals: dict[tuple[str, str], float]) -> None:
        """Submit requests per customer and class at the given rates.

        Time advances in steps of ``STEP_S``.
        """
        due = dict.fromkeys(arrivals, float(0))
        while self.now < until:
            self.now += STEP_S
            for key, rate in arrivals.items():
                due[key] += rate * STEP_S
                while due[key] >= 1:
                    due[key] -= 1
                    self._submit(*key)
            while self.ends and self.ends[0][0] <= self.now:
                name = heapq.heappop(self.ends)[1]
                self.scheduler.on_tokens(self.now, name, 100)
                self.scheduler.on_finish(self.now, name, 'ok')
            self._tick()

    def waits(self, class_name: str, customer: str = '') -> list[float]:
        """Return the queue times in seconds until dispatch or shedding."""
        ended = self.dispatches + self.sheds
        return [
            at - self.arrived[name]
            for at, name in ended
            if self.requests[name].class_name == class_name
            and f'-{customer}' in name
        ]

    def count(self, events: list[tuple[float, str]], class_name: str) -> int:
        """Count the events of a class."""
        return sum(
            self.requests[name].class_name == class_name for _, name in events
        )

    def _submit(self, customer: str, class_name: str) -> None:
        name = f'{class_name}-{customer}-{len(self.requests)}'
        self.requests[name] = QueuedRequest(
            request_id=name,
            customer='all' if self.one_customer else customer,
            class_name=class_name,
            pool='p',
        )
        self.arrived[name] = self.now
        self.scheduler.submit(self.now, self.requests[name])

    def _tick(self) -> None:
        for decision in self.scheduler.tick(self.now):
            if isinstance(decision, Dispatch):
                self.dispatches.append((self.now, decision.request_id))
                end = (self.now + self.service_s, decision.request_id)
                heapq.heappush(self.ends, end)
            else:
                self.sheds.append((self.now, decision.request_id))


def served_below_shed(load: Load) -> int:
    """Count low-tier dispatches within half a second of a high-tier shed."""
    high = [at for at, name in load.sheds if name.startswith('high')]
    return sum(
        any(0 <= 2 * (at - shed_at) < 1 for shed_at in high)
        for at, name in load.dispatches
        if name.startswith('low')
    )


@pytest.fixture
def overload(make_scheduler: MakeScheduler) -> Load:
    """Return a load on one endpoint that serves four requests per second."""
    return Load(make_scheduler(slots=4, max_queue=400), service_s=1)


def test_no_lower_tier_served_while_higher_shed(overload: Load) -> None:
    """Guards against a low tier that is served while a high one is shed.

    One dispatch per ``STARVATION_S`` is allowed: it keeps the low class from
    starving in a lasting overload.
    """
    overload.run(120, {('a', 'high'): 8, ('a', 'low'): 2})
    assert overload.count(overload.sheds, 'high') > 100
    assert served_below_shed(overload) <= 120 / pools.STARVATION_S


def longest_gap(load: Load, class_name: str) -> float:
    """Return the longest time between two dispatches of a class."""
    times = [at for at, name in load.dispatches if name.startswith(class_name)]
    pairs = zip([0, *times], [*times, load.now], strict=True)
    return max(later - earlier for earlier, later in pairs)


def test_low_class_served_in_lasting_overload(overload: Load) -> None:
    """Guards against a low class that starves while a high one is shed."""
    overload.run(240, {('a', 'high'): 8, ('a', 'low'): 2})
    # A slot becomes free every 0.25 s.
    assert longest_gap(overload, 'low') <= pools.STARVATION_S + 2


def test_low_class_starves_in_overload_without_bound(
    overload: Load, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Shows that strict shedding order alone starves the low class."""
    monkeypatch.setattr(pools, 'STARVATION_S', float('inf'))
    overload.run(240, {('a', 'high'): 8, ('a', 'low'): 2})
    assert longest_gap(overload, 'low') > 60


def test_lower_tier_served_without_shed_hold(
    overload: Load, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Shows that the minimum share alone violates the shedding order."""
    monkeypatch.setattr(pools, 'SHED_HOLD_S', 0)
    overload.run(120, {('a', 'high'): 8, ('a', 'low'): 2})
    assert served_below_shed(overload) > 0


def test_no_class_waits_beyond_its_timeout(overload: Load) -> None:
    """Guards against a wait beyond the queue timeout in lasting overload."""
    overload.run(150, {('a', 'high'): 3, ('a', 'middle'): 3, ('b', 'low'): 1})
    for service_class in CLASSES:
        longest_s = max(overload.waits(service_class.name))
        assert longest_s <= service_class.max_wait_s + STEP_S


def test_low_class_gets_its_min_share(overload: Load) -> None:
    """Guards against a low class that starves behind a long backlog."""
    overload.run(12, {('a', 'high'): 8, ('b', 'low'): 1})
    assert not overload.count(overload.sheds, 'high')
    # The minimum share is a tenth of about 48 dispatches.
    assert overload.count(overload.dispatches, 'low') >= 4


def test_low_class_starves_without_min_share(
    overload: Load, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Shows that strict tier order alone starves the low class."""
    monkeypatch.setattr(pools, 'MAX_CREDIT', 0)
    overload.run(12, {('a', 'high'): 8, ('b', 'low'): 1})
    assert overload.count(overload.dispatches, 'low') <= 1


def test_customer_at_20_times_its_share(overload: Load) -> None:
    """Guards against one customer that delays the others of its class."""
    overload.run(100, {('a', 'high'): 20, ('b', 'high'): 1})
    shed = [name for _, name in overload.sheds if '-b-' in name]
    assert not shed
    assert max(overload.waits('high', 'b')) < 2


def test_customer_delays_others_without_fair_queueing(
    overload: Load,
) -> None:
    """Shows that one queue for all customers delays the others."""
    overload.one_customer = True
    overload.run(100, {('a', 'high'): 20, ('b', 'high'): 1})
    assert max(overload.waits('high', 'b')) > 5


def test_large_customer_uses_idle_capacity(overload: Load) -> None:
    """Guards against idle slots while a large customer waits."""
    overload.run(50, {('a', 'high'): 20, ('b', 'high'): 0.1})
    # Four requests per second for almost all of the 50 s.
    assert len(overload.dispatches) >= 4 * 48


def test_expected_late_request_is_shed(
    make_scheduler: MakeScheduler, make_request: MakeRequest
) -> None:
    """Guards against work on a request that cannot finish in time."""
    load = Load(make_scheduler(slots=1), service_s=10)
    load.run(40, {('a', 'high'): 0.1})
    request = make_request('r', deadline_at=load.now + 4)
    load.scheduler.submit(load.now, request)
    decisions = load.scheduler.tick(load.now)
    assert [(decision.request_id) for decision in decisions] == ['r']
    assert isinstance(decisions[0], Shed)
    assert decisions[0].reason == 'deadline'


class Crashes:
    """One host with several endpoints and a request that crashes them."""

    def __init__(self, endpoint_count: int, batch: int) -> None:
        """Submit ``batch`` good requests and the crashing one."""
        rng = random.Random(3)
        self.endpoints = [
            Endpoint(name=f'e{number}', pool='p', slots=8)
            for number in range(endpoint_count)
        ]
        self.scheduler = Scheduler.from_config(
            SchedulerConfig(), random.Random(2)
        )
        self.scheduler.configure(
            0,
            [ServiceClass(name='high', tier=0)],
            [Customer(name='a')],
            self.endpoints,
        )
        self.retries = RetryPolicy.from_rng(rng, self.scheduler.suspects)
        self.running: dict[str, tuple[QueuedRequest, str, float]] = {}
        self.attempts: Counter[str] = Counter()
        self.due: list[tuple[float, str, QueuedRequest]] = []
        self.crashed: list[str] = []
        self.done: set[str] = set()
        for number in range(batch):
            self._add(f'good{number}')
        self._add('poison')

    def run(self) -> None:
        """Run 60 s; good requests take 3 s, the bad one crashes after 1 s."""
        for step in range(600):
            now = step / 10
            while self.due and self.due[0][0] <= now:
                self.scheduler.submit(now, heapq.heappop(self.due)[2])
            for decision in self.scheduler.tick(now):
                if isinstance(decision, Dispatch):
                    self._start(now, decision)
            self._progress(now)

    def _add(self, name: str) -> None:
        req = QueuedRequest(
            request_id=name, customer='a', class_name='high', pool='p'
        )
        self.retries.on_request(0)
        heapq.heappush(self.due, (0, name, req))
        self.running[name] = (req, '', 0)

    def _start(self, now: float, dispatch: Dispatch) -> None:
        req = self.running[dispatch.request_id][0]
        self.attempts[dispatch.request_id] += 1
        self.running[dispatch.request_id] = (req, dispatch.endpoint, now)

    def _progress(self, now: float) -> None:
        _, endpoint, started_at = self.running['poison']
        if endpoint and now - started_at >= 1:
            self.crashed.append(endpoint)
            for name, (req, endpoint_name, _) in list(self.running.items()):
                if endpoint_name == endpoint:
                    self._fail(now, name, req, endpoint_name)
        for name, (req, endpoint_name, started) in list(self.running.items()):
            if endpoint_name and name != 'poison' and now - started >= 3:
                self.scheduler.on_finish(now, name, 'ok')
                self.running[name] = (req, '', 0)
                self.done.add(name)

    def _fail(
        self, now: float, name: str, req: QueuedRequest, endpoint_name: str
    ) -> None:
        self.scheduler.on_finish(now, name, 'crashed')
        attempt = FailedAttempt(
            req=req,
            endpoint=endpoint_name,
            outcome='crashed',
            number=self.attempts[name],
            deadline_at=60,
            idempotent=True,
        )
        verdict = self.retries.decide(now, attempt)
        self.running[name] = (verdict.req or req, '', 0)
        if verdict.req is not None:
            heapq.heappush(self.due, (verdict.retry_at, name, verdict.req))


def test_crashing_request_crashes_two_endpoints() -> None:
    """Guards against a third crashed endpoint and lost good requests."""
    crashes = Crashes(endpoint_count=6, batch=30)
    crashes.run()
    assert len(crashes.crashed) == 2
    assert len(crashes.done) == 30


def test_crashing_request_without_quarantine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that more endpoints crash without quarantine."""
    monkeypatch.setattr(suspects, 'CRASHES_TO_QUARANTINE', 99)
    crashes = Crashes(endpoint_count=6, batch=30)
    crashes.run()
    assert len(crashes.crashed) > 2


def test_draining_endpoint_gets_no_work(
    make_scheduler: MakeScheduler, make_request: MakeRequest
) -> None:
    """Guards against new work for a draining endpoint."""
    scheduler = make_scheduler(count=2, slots=4)
    endpoints = [
        Endpoint(name='e0', pool='p', slots=4, leaving=True),
        Endpoint(name='e1', pool='p', slots=4),
    ]
    scheduler.configure(1, CLASSES, [Customer(name='a')], endpoints)
    for number in range(6):
        scheduler.submit(1, make_request(f'r{number}'))
    decisions = scheduler.tick(1)
    used = [
        decision.endpoint
        for decision in decisions
        if isinstance(decision, Dispatch)
    ]
    assert len(used) == 4
    assert set(used) == {'e1'}


def test_failing_endpoint_returns_gradually(
    make_scheduler: MakeScheduler, make_request: MakeRequest
) -> None:
    """Guards against full load on an endpoint that has just recovered."""
    scheduler = make_scheduler(slots=8, max_queue=99)
    scheduler.submit(0, make_request('first'))
    scheduler.tick(0)
    scheduler.on_finish(0, 'first', 'crashed')
    for number in range(20):
        scheduler.submit(0, make_request(f'r{number}'))
    assert not scheduler.tick(limits.CLOSED_MIN_S / 2)
    started = [len(scheduler.tick(5))]
    for number in range(4):
        scheduler.on_finish(6 + number, f'r{number}', 'ok')
        started.append(len(scheduler.tick(6 + number)))
    assert started[0] == 1
    # Four have ended, and the rest must not fill the 8 slots yet.
    assert sum(started) - 4 < 8
