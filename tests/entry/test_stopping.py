"""Failures of a planned stop."""

from __future__ import annotations

import threading
from typing import Any

import pytest
from entry.fakes import (
    LOST,
    PATIENCE_S,
    CountedJob,
    EntryRig,
    FakeControl,
    wait_until,
)

from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.orders import OrderAttempt
from apricotcart.entry.stopping import ActiveRequests, Drain, flush
from apricotcart.entry.synchronizer import HostIdentity
from apricotcart.entry.usage import UsageCounter, UsageSender
from apricotcart.membership.records import LEAVING


class FakeSynchronizer:
    """Fails a number of times before a control host is told."""

    def __init__(self, identity: HostIdentity, failures: int) -> None:
        """Keep the identity that is reported."""
        self.identity = identity
        self.failures = failures
        self.told: list[str] = []

    def sync(self) -> bool:
        """Report the state, or fail."""
        if self.failures:
            self.failures -= 1
            return False
        self.told.append(self.identity.state)
        return True


def test_stop_waits_for_running_and_late_requests() -> None:
    """Guards against a stop that cuts off what runs or arrives late."""
    identity = HostIdentity(name='e1', zone='z', url='u', incarnation=1)
    synchronizer: Any = FakeSynchronizer(identity, 2)
    active = ActiveRequests()
    active.enter()
    drain = Drain(identity, synchronizer, active, 0)
    leaving = threading.Thread(target=drain.leave)
    leaving.start()
    wait_until(lambda: synchronizer.told == [LEAVING])
    # A late request overlaps the first one, so that the host is never idle.
    active.enter()
    active.leave()
    leaving.join(1)
    assert leaving.is_alive()
    active.leave()
    leaving.join(PATIENCE_S)
    assert not leaving.is_alive()


def test_flush_repeats_until_all_is_acknowledged(
    rig: EntryRig,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against figures or closings lost by a planned stop."""
    monkeypatch.setattr('apricotcart.entry.usage._SEND_TIMEOUT_S', 1)
    control = FakeControl(LOST, {'ok': True})
    counter = UsageCounter(1e9)
    counter.count_call(CountedJob('guild'))
    sender = UsageSender(counter, ControlLink({'c1': control}), 'e1', 1)
    rig.orders.finish_later(OrderAttempt('guild', 'k'), 'unknown')
    flush(sender, rig.orders)
    assert control.commands('usage_add')[-1]['seq'] == 1
    assert not rig.orders.unsent
    assert len(rig.control.commands('order_finish')) == 1


def test_flush_gives_up_without_control_hosts(
    rig: EntryRig,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stop that never ends while no host leads."""
    monkeypatch.setattr('apricotcart.entry.stopping._FLUSH_S', 0.2)
    rig.control.answers = [LOST]
    rig.orders.finish_later(OrderAttempt('guild', 'k'), 'unknown')
    sender = UsageSender(
        rig.usage,
        ControlLink({'c1': rig.control}),
        'e1',
        1,
    )
    flush(sender, rig.orders)
    assert rig.orders.unsent
