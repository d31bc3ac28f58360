"""Tests of planned stops with failures."""

from __future__ import annotations

import threading
from typing import Any

import pytest
from entry.fakes import (
    LOST,
    TEST_TIMEOUT_S,
    EntryHarness,
    FakeControl,
    GrantOnlyContext,
    wait_until,
)

from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.orders import OrderAttempt
from apricotcart.entry.stopping import ActiveRequests, HostDrain, flush_pending
from apricotcart.entry.synchronizer import HostIdentity
from apricotcart.entry.usage import UsageCounter, UsageSender
from apricotcart.membership.records import LEAVING


class FakeSynchronizer:
    """A synchronizer that fails a number of times before it succeeds."""

    def __init__(self, identity: HostIdentity, failures: int) -> None:
        self.identity = identity
        self.failures = failures
        self.reported_states: list[str] = []

    def sync(self) -> bool:
        """Report the state, or fail."""
        if self.failures:
            self.failures -= 1
            return False
        self.reported_states.append(self.identity.state)
        return True


def test_stop_waits_for_running_and_late_requests() -> None:
    """Guards against a stop that aborts running or late requests."""
    identity = HostIdentity(name='e1', zone='z', url='u', incarnation=1)
    synchronizer: Any = FakeSynchronizer(identity, 2)
    active = ActiveRequests()
    active.enter()
    drain = HostDrain(identity, synchronizer, active, 0)
    leaving = threading.Thread(target=drain.run)
    leaving.start()
    wait_until(lambda: synchronizer.reported_states == [LEAVING])
    # A late request overlaps the first one, so the host is not yet idle.
    active.enter()
    active.leave()
    leaving.join(1)
    assert leaving.is_alive()
    active.leave()
    leaving.join(TEST_TIMEOUT_S)
    assert not leaving.is_alive()


def test_flush_repeats_until_all_is_acknowledged(
    harness: EntryHarness,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against usage figures or order records lost by a planned stop."""
    monkeypatch.setattr('apricotcart.entry.usage._SEND_TIMEOUT_S', 1)
    control = FakeControl(LOST, {'ok': True})
    counter = UsageCounter(1e9)
    counter.count_call(GrantOnlyContext('guild'))
    sender = UsageSender(counter, ControlLink({'c1': control}), 'e1', 1)
    harness.orders.finish_later(OrderAttempt('guild', 'k'), 'unknown')
    flush_pending(sender, harness.orders)
    assert control.commands('usage_add')[-1]['seq'] == 1
    assert not harness.orders.unacknowledged
    assert len(harness.control.commands('order_finish')) == 1


def test_flush_gives_up_without_control_hosts(
    harness: EntryHarness,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stop that never ends while no host leads."""
    monkeypatch.setattr('apricotcart.entry.stopping._FLUSH_TIMEOUT_S', 0.2)
    harness.control.answers = [LOST]
    harness.orders.finish_later(OrderAttempt('guild', 'k'), 'unknown')
    sender = UsageSender(
        harness.usage,
        ControlLink({'c1': harness.control}),
        'e1',
        1,
    )
    flush_pending(sender, harness.orders)
    assert harness.orders.unacknowledged
