"""Stateful test that compares the scheduler with a naive model."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from apricotcart.endpoints.records import Endpoint
from apricotcart.scheduling.config import SchedulerConfig
from apricotcart.scheduling.decisions import Dispatch
from apricotcart.scheduling.records import (
    Customer,
    QueuedRequest,
    ServiceClass,
)
from apricotcart.scheduling.scheduler import Scheduler

MAX_QUEUE = 4
MAX_WAIT_S = 10
SLOTS = 3
NEVER_S = 1_000_000_000


class NaiveScheduler:
    """A model that sorts one list per tick, without customers or endpoints."""

    def __init__(self) -> None:
        self.queue: dict[str, tuple[int, int]] = {}
        self.running: set[str] = set()

    def over_queue_bound(self) -> list[int]:
        """Return the tiers of the requests to shed so that the queue fits."""
        tiers = sorted(tier for tier, _ in self.queue.values())
        return tiers[MAX_QUEUE:]

    def expired(self, now: int) -> set[str]:
        """Return the requests past their queue timeout."""
        return {
            name
            for name, (_, enqueued_at) in self.queue.items()
            if now - enqueued_at >= MAX_WAIT_S
        }

    def dispatched(self) -> list[int]:
        """Return the tiers of the requests that a tick dispatches."""
        tiers = sorted(tier for tier, _ in self.queue.values())
        return tiers[: SLOTS - len(self.running)]


class SchedulerMachine(RuleBasedStateMachine):
    """Compares tiers and counts, and that every request ends exactly once."""

    def __init__(self) -> None:
        super().__init__()
        self.scheduler = Scheduler.from_config(
            SchedulerConfig(max_queue=MAX_QUEUE), random.Random(1)
        )
        self.scheduler.configure(
            0,
            [
                ServiceClass(
                    name=f'c{tier}',
                    tier=tier,
                    max_wait_s=MAX_WAIT_S,
                    total_s=NEVER_S,
                    first_token_s=NEVER_S,
                )
                for tier in range(3)
            ],
            [Customer(name='a', weight=3), Customer(name='b')],
            [Endpoint(name='e', pool='p', slots=SLOTS)],
        )
        self.naive = NaiveScheduler()
        self.now = 0
        self.submitted = 0
        self.ended: Counter[str] = Counter()

    @rule(tier=st.integers(0, 2), customer=st.sampled_from('ab'))
    def submit(self, tier: int, customer: str) -> None:
        """Submit a request and compare what is shed from a full queue."""
        name = f'r{self.submitted}'
        self.submitted += 1
        self.scheduler.submit(
            self.now,
            QueuedRequest(
                request_id=name,
                customer=customer,
                class_name=f'c{tier}',
                pool='p',
            ),
        )
        self.naive.queue[name] = (tier, self.now)
        expected = self.naive.over_queue_bound()
        self._tick(expected)

    @rule(step=st.integers(1, 6))
    def wait(self, step: int) -> None:
        """Advance the time and compare which requests expire."""
        self.now += step
        expired = self.naive.expired(self.now)
        self._tick([self.naive.queue[name][0] for name in expired])

    @rule(data=st.data(), tokens=st.integers(0, 300))
    def finish(self, data: st.DataObject, tokens: int) -> None:
        """Finish a running request."""
        if self.naive.running:
            name = data.draw(st.sampled_from(sorted(self.naive.running)))
            self.scheduler.on_first_byte(self.now, name)
            self.scheduler.on_tokens(self.now, name, tokens)
            self.scheduler.on_finish(self.now, name, 'ok')
            self.naive.running.discard(name)
            self.ended[name] += 1
            self._tick([])

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancel a queued or running request; a second call has no effect."""
        known = sorted(self.naive.running | set(self.naive.queue))
        if known:
            name = data.draw(st.sampled_from(known))
            self.scheduler.cancel(self.now, name)
            self.scheduler.cancel(self.now, name)
            self.naive.running.discard(name)
            self.naive.queue.pop(name, None)
            self.ended[name] += 1
            self._tick([])

    @invariant()
    def demand_agrees(self) -> None:
        """Guards against a demand that differs from the queued and running."""
        demand = self.scheduler.demand()
        queued = Counter(tier for tier, _ in self.naive.queue.values())
        assert {
            entry.tier: entry.queued for entry in demand.tiers if entry.queued
        } == dict(queued)
        assert demand.running.get('e', 0) == len(self.naive.running)

    @invariant()
    def every_request_ends_once(self) -> None:
        """Guards against a request that is lost or ends twice."""
        open_count = len(self.naive.queue) + len(self.naive.running)
        assert max(self.ended.values(), default=1) == 1
        assert len(self.ended) + open_count == self.submitted

    def _tick(self, expected_sheds: list[int]) -> None:
        sheds: list[int] = []
        dispatched: list[int] = []
        expected_dispatched: list[int] | None = None
        for decision in self.scheduler.tick(self.now):
            name = decision.request_id
            if isinstance(decision, Dispatch):
                if expected_dispatched is None:
                    expected_dispatched = self.naive.dispatched()
                dispatched.append(self.naive.queue.pop(name)[0])
                self.naive.running.add(name)
            else:
                sheds.append(self.naive.queue.pop(name)[0])
                self.ended[name] += 1
        if expected_dispatched is None:
            expected_dispatched = self.naive.dispatched()
        assert sorted(sheds) == sorted(expected_sheds)
        assert dispatched == expected_dispatched


SchedulerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
test_scheduler_conservation = SchedulerMachine.TestCase
