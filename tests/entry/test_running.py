"""Tests of the key checks of running requests."""

from __future__ import annotations

import pytest
from entry.fakes import FakeConfiguration

from apricotcart.entry.running import RunningTable


@pytest.fixture
def keys() -> FakeConfiguration:
    """Return a configuration whose only key is withdrawn."""
    configuration = FakeConfiguration(())
    configuration.withdrawn = True
    return configuration


def test_revoked_before_connection(keys: FakeConfiguration) -> None:
    """Guards against a connection that is opened after the withdrawal."""
    table = RunningTable()
    running = table.add('r1', 'k1')
    assert table.check(keys) == 1
    aborted: list[str] = []
    running.set_abort_callback(lambda: aborted.append('r1'))
    assert aborted == ['r1']


def test_revoked_once_and_keyless_never(keys: FakeConfiguration) -> None:
    """Guards against aborting keyless requests, and against double counts."""
    table = RunningTable()
    public = table.add('r1', '')
    table.add('r2', 'k1').set_abort_callback(lambda: None)
    assert table.check(keys) == 1
    assert table.check(keys) == 0
    assert not public.is_revoked
    table.remove('r2')
    table.remove('r2')
    assert len(table) == 1
