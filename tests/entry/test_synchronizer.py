"""Tests of syncs with the control hosts that fail."""

from __future__ import annotations

import random
import time
from typing import Any

import pytest
from entry.fakes import LOST, EntryHarness, FakeControl

from apricotcart.distribution.configcopy import ConfigCopy
from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.shared_directory import SharedHostDirectory
from apricotcart.entry.synchronizer import HostIdentity, Synchronizer
from apricotcart.membership.directory import HostDirectory
from apricotcart.membership.drain import EndpointEligibility

REFUSED = {'ok': False, 'message': 'this host does not know'}


def _synchronizer(
    harness: EntryHarness,
    control: FakeControl,
    config_copy: ConfigCopy,
) -> Synchronizer:
    directory = HostDirectory(
        zone='z',
        rng=random.Random(1),
        ttl_s=5,
    )
    return Synchronizer(
        identity=HostIdentity(name='e1', zone='z', url='u', incarnation=1),
        link=ControlLink({'c1': control}),
        config_copy=config_copy,
        dispatcher=harness.dispatcher,
        hosts=SharedHostDirectory(directory),
        eligibility=EndpointEligibility(),
    )


@pytest.mark.parametrize('answer', [LOST, REFUSED], ids=['lost', 'refused'])
def test_failed_sync_does_not_refresh_copy(
    harness: EntryHarness,
    monkeypatch: pytest.MonkeyPatch,
    answer: Any,
) -> None:
    """Guards against a copy that counts as fresh after a failed sync."""
    monkeypatch.setattr('apricotcart.entry.synchronizer._SYNC_TIMEOUT_S', 0.1)
    config_copy = ConfigCopy()
    synchronizer = _synchronizer(harness, FakeControl(answer), config_copy)
    assert not synchronizer.sync()
    assert not config_copy.is_fresh(time.monotonic())
