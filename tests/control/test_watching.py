"""Tests of the stream of resource events with a fake clock."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from control.fakes import FakeLoop

from apricotcart.control.watching import Watcher
from apricotcart.state.limits import Limits
from apricotcart.state.machine import ClusterState

PutCustomer = Callable[[int], None]


class FakeClock:
    """Clock that advances when the watcher sleeps."""

    def __init__(self) -> None:
        """Initialize the time to 0."""
        self.now: float = 0

    def monotonic(self) -> float:
        """Return the time."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Advance the time."""
        self.now += seconds


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> FakeClock:
    """Replace the watcher's clock."""
    fake_clock = FakeClock()
    watching = 'apricotcart.control.watching'
    monkeypatch.setattr(f'{watching}.time', fake_clock)
    monkeypatch.setattr(f'{watching}.boot_clock_s', fake_clock.monotonic)
    return fake_clock


@pytest.fixture
def loop() -> FakeLoop:
    """Return a leader whose history keeps four events."""
    return FakeLoop(ClusterState(Limits(max_events=4)))


@pytest.fixture
def put_customer(loop: FakeLoop) -> PutCustomer:
    """Return a function that puts one customer."""

    def put(number: int) -> None:
        change = {
            'kind': 'customer',
            'name': f'c{number}',
            'expected_version': None,
            'spec': {'weight': 1},
        }
        command = {'kind': 'apply', 'op_id': f'{number}', 'changes': [change]}
        assert loop.propose(command, 1)['ok']

    return put


def watch(loop: FakeLoop, revision: int) -> Iterator[bytes]:
    """Watch for 10 s."""
    fake: Any = loop
    return Watcher(fake, loop.state).lines(revision, 10)


def event_names(lines: list[bytes]) -> list[tuple[str, str]]:
    """Return operation and name of each event."""
    events = [json.loads(line) for line in lines if line.strip()]
    return [(event['op'], event['resource']['name']) for event in events]


def test_watch_snapshot(
    clock: FakeClock, loop: FakeLoop, put_customer: PutCustomer
) -> None:
    """Guards against missed events when the history is too short."""
    for number in range(6):
        put_customer(number)
    events = event_names(list(watch(loop, 1)))
    assert events == [('snapshot', f'c{number}') for number in range(6)]
    assert clock.now >= 10


def test_watch_continues_after_snapshot(
    clock: FakeClock, loop: FakeLoop, put_customer: PutCustomer
) -> None:
    """Guards against an event that is lost or repeated after a snapshot."""
    for number in range(6):
        put_customer(number)
    lines = watch(loop, 1)
    first = [next(lines) for _ in range(6)]
    put_customer(6)
    rest = event_names(list(lines))
    assert len(event_names(first)) == 6
    assert [name for _, name in rest] == ['c6']
    assert rest[0][0] != 'snapshot'


def test_watch_lost_leadership(
    clock: FakeClock, loop: FakeLoop, put_customer: PutCustomer
) -> None:
    """Guards against a stream that continues after the leader was replaced."""
    put_customer(1)
    lines = watch(loop, 0)
    assert event_names([next(lines)])
    loop.lease = 0
    assert not event_names(list(lines))
    assert clock.now < 3
