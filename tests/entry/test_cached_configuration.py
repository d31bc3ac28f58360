"""Tests of a configuration copy that is missing or too old."""

from __future__ import annotations

import pytest

from apricotcart.distribution.configcopy import FRESH_FOR_S, ConfigCopy
from apricotcart.distribution.responder import SyncResponder
from apricotcart.entry.cached_configuration import CachedConfiguration
from apricotcart.entry.errors import (
    EndpointDrainingError,
    StaleConfigurationError,
)
from apricotcart.errors.tree import NOT_RUN
from apricotcart.membership.drain import DRAIN_BOUND_S, EndpointEligibility
from apricotcart.state.machine import ClusterState

SYNCED_AT = 100.0


class FakeClock:
    """A clock set by the test."""

    def __init__(self) -> None:
        self.now = SYNCED_AT

    def __call__(self) -> float:
        """Return the time."""
        return self.now


@pytest.fixture
def clock() -> FakeClock:
    """Return a clock."""
    return FakeClock()


@pytest.fixture
def configuration(clock: FakeClock) -> CachedConfiguration:
    """Return a configuration without resources, synced at ``SYNCED_AT``."""
    config_copy = ConfigCopy()
    config_copy.apply(
        SyncResponder(ClusterState()).build_update(None), clock.now
    )
    return CachedConfiguration(config_copy, EndpointEligibility(), clock)


def test_copy_is_refused_at_its_bound(
    configuration: CachedConfiguration,
    clock: FakeClock,
) -> None:
    """Guards against a frozen host that resumes with an outdated copy."""
    clock.now = SYNCED_AT + FRESH_FOR_S - 0.01
    configuration.require_fresh()
    clock.now = SYNCED_AT + FRESH_FOR_S + 0.01
    with pytest.raises(StaleConfigurationError) as caught:
        configuration.require_fresh()
    assert caught.value.run_state == NOT_RUN
    assert not configuration.is_key_valid('k1')


def test_copy_never_synced_is_refused() -> None:
    """Guards against a new host that serves before its first sync."""
    configuration = CachedConfiguration(
        ConfigCopy(), EndpointEligibility(), FakeClock()
    )
    with pytest.raises(StaleConfigurationError):
        configuration.require_fresh()
    assert configuration.grant_of('guess') is None


def test_unknown_names_are_refused(configuration: CachedConfiguration) -> None:
    """Guards against lookups of unknown names that raise untyped errors."""
    assert configuration.route('nothing') is None
    assert configuration.endpoint_url('nothing') == ''
    assert not configuration.is_key_valid('nothing')
    with pytest.raises(EndpointDrainingError):
        configuration.require_dispatchable('nothing')


def test_drain_bound_is_below_freshness() -> None:
    """Guards against dispatch to a draining endpoint from a fresh copy."""
    assert DRAIN_BOUND_S < FRESH_FOR_S
