"""Tests of the decision modules of a leader and of host hints."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from control.fakes import FakeLoop, sync_message

from apricotcart.control.duty_plan import DutyPlan, HintFeed
from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.platform_views import CommittedFleet
from apricotcart.membership.table import HINTED_LOST_AFTER_S, LOST_AFTER_S
from apricotcart.provisioning.api import Answer
from apricotcart.provisioning.hosts import HostHints
from apricotcart.provisioning.outbox import Outbox

POOL = {
    'min_endpoints': 1,
    'max_endpoints': 2,
    'endpoint_slots': 4,
    'endpoint_checks_fencing': True,
    'endpoint_models': [],
}


@pytest.mark.parametrize(
    ('pools', 'names'),
    [
        (
            {'gpu': POOL},
            'Inventory UsageReporter CapacityController '
            'FleetController ModelLoader HostHints',
        ),
        ({}, 'UsageReporter ModelLoader HostHints'),
    ],
)
def test_plan_order(loop: FakeLoop, pools: Any, names: str) -> None:
    """Guards against tasks that run before the tasks they depend on."""
    fake: Any = loop
    cfg: Any = SimpleNamespace(
        host=SimpleNamespace(name='a'),
        timing=SimpleNamespace(send_timeout_s=1.0),
    )
    hosts = EntryHosts(0)
    fleet = CommittedFleet(fake, loop.state, hosts)
    duties = DutyPlan(cfg, fake, loop.state, fleet, hosts).build(pools)
    built = [type(task).__name__ for task in duties.leader._tasks]
    assert built == names.split()


class HintHarness:
    """A hint feed and a host table with two hosts that synchronise."""

    def __init__(self) -> None:
        """Initialize without a list of the platform."""
        self.outbox = Outbox()
        self.hints = HostHints(self.outbox)
        self.hosts = EntryHosts(0)
        self.feed = HintFeed(self.hints, self.hosts)

    def sync(self, now: float) -> None:
        """Synchronise both hosts."""
        for host in ('h1', 'h2'):
            self.hosts.on_sync(now, 1, sync_message(host))

    def read(self, now: float, **states: str) -> None:
        """Receive a host list from the platform."""
        self.hints.tick(now)
        listed = [{'name': name, 'state': states[name]} for name in states]
        answer = Answer(status=200, body={'hosts': listed})
        for request in self.outbox.take_requests():
            self.outbox.on_answer(now, request.ticket, answer)
        self.feed.tick(now)

    def live(self, now: float) -> list[str]:
        """Return the hosts that are not lost."""
        return [report['host'] for report in self.hosts.reports(now)]


def test_hint_draining() -> None:
    """Guards against a hint that is lost or removes a live host."""
    harness = HintHarness()
    for now in range(7):
        harness.sync(now)
        if now in {1, 6}:
            harness.read(now, h1='draining', h2='live', unheard='draining')
    assert harness.live(6) == ['h1', 'h2']
    assert harness.live(6 + HINTED_LOST_AFTER_S) == ['h2']
    harness.sync(6 + HINTED_LOST_AFTER_S)
    assert harness.live(6 + HINTED_LOST_AFTER_S) == ['h1', 'h2']


def test_hint_single_reading() -> None:
    """Guards against a hint from a single, possibly outdated, list."""
    harness = HintHarness()
    harness.sync(1)
    harness.read(1, h1='draining', h2='live')
    assert harness.live(1 + HINTED_LOST_AFTER_S) == ['h1', 'h2']
    assert not harness.live(1 + LOST_AFTER_S)
