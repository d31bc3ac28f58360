"""Failures of a configuration copy that grows too old."""

from __future__ import annotations

import pytest

from apricotcart.distribution.configcopy import FRESH_FOR_S, ConfigCopy
from apricotcart.distribution.responder import SyncResponder
from apricotcart.entry.errors import (
    EndpointDrainingError,
    StaleConfigurationError,
)
from apricotcart.entry.held import HeldConfiguration
from apricotcart.errors.tree import NOT_RUN
from apricotcart.membership.drain import DRAIN_BOUND_S, EndpointDrain
from apricotcart.state.machine import ClusterState

SYNCED_AT = 100.0


class FakeClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        """Start at the time of the sync."""
        self.now = SYNCED_AT

    def __call__(self) -> float:
        """Give the time."""
        return self.now


@pytest.fixture
def clock() -> FakeClock:
    """Give a clock."""
    return FakeClock()


@pytest.fixture
def held(clock: FakeClock) -> HeldConfiguration:
    """Give a copy without resources that synced at the clock's time."""
    copy = ConfigCopy()
    copy.apply(SyncResponder(ClusterState()).respond(None), clock.now)
    return HeldConfiguration(copy, EndpointDrain(), clock)


def test_copy_is_refused_at_its_bound(
    held: HeldConfiguration,
    clock: FakeClock,
) -> None:
    """Guards against a frozen host that goes on with an old copy."""
    clock.now = SYNCED_AT + FRESH_FOR_S - 0.01
    held.require_fresh()
    clock.now = SYNCED_AT + FRESH_FOR_S + 0.01
    with pytest.raises(StaleConfigurationError) as caught:
        held.require_fresh()
    assert caught.value.run_state == NOT_RUN
    assert not held.is_key_valid('k1')


def test_copy_never_synced_is_refused() -> None:
    """Guards against a new host that serves before its first sync."""
    held = HeldConfiguration(ConfigCopy(), EndpointDrain(), FakeClock())
    with pytest.raises(StaleConfigurationError):
        held.require_fresh()
    assert held.grant_of('guess') is None


def test_unknown_names_are_refused(held: HeldConfiguration) -> None:
    """Guards against a lookup that fails without a type."""
    assert held.route('nothing') is None
    assert held.endpoint_url('nothing') == ''
    assert not held.is_key_valid('nothing')
    with pytest.raises(EndpointDrainingError):
        held.require_dispatchable('nothing')


def test_drain_bound_is_below_freshness() -> None:
    """Guards against work for a draining endpoint from a fresh copy."""
    assert DRAIN_BOUND_S < FRESH_FOR_S
