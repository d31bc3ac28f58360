"""Failures of the sync with the control hosts."""

from __future__ import annotations

import random
import time
from typing import Any

import pytest
from entry.fakes import LOST, EntryRig, FakeControl

from apricotcart.distribution.configcopy import ConfigCopy
from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.host_answers import HostAnswers
from apricotcart.entry.synchronizer import HostIdentity, Synchronizer
from apricotcart.membership.directory import HostDirectory
from apricotcart.membership.drain import EndpointDrain

REFUSED = {'ok': False, 'message': 'this host does not know'}


def _synchronizer(
    rig: EntryRig,
    control: FakeControl,
    held: ConfigCopy,
) -> Synchronizer:
    directory = HostDirectory(
        zone='z',
        rng=random.Random(1),
        ttl_s=5,
    )
    return Synchronizer(
        identity=HostIdentity(name='e1', zone='z', url='u', incarnation=1),
        link=ControlLink({'c1': control}),
        held=held,
        dispatcher=rig.dispatcher,
        hosts=HostAnswers(directory),
        drain=EndpointDrain(),
    )


@pytest.mark.parametrize('answer', [LOST, REFUSED], ids=['lost', 'refused'])
def test_failed_sync_proves_nothing(
    rig: EntryRig,
    monkeypatch: pytest.MonkeyPatch,
    answer: Any,
) -> None:
    """Guards against a copy that counts as fresh without an answer."""
    monkeypatch.setattr('apricotcart.entry.synchronizer._SYNC_TIMEOUT_S', 0.1)
    held = ConfigCopy()
    synchronizer = _synchronizer(rig, FakeControl(answer), held)
    assert not synchronizer.sync()
    assert not held.is_fresh(time.monotonic())
