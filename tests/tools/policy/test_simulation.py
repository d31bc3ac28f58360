"""Tests of simulated hosts and engines at one seed."""

from __future__ import annotations

import pytest
from policy.deployment import Deployment
from policy.simulation import Simulation

SEED = 1


@pytest.fixture(scope='module', params=['sealdesk', 'sailom'])
def finished(request: pytest.FixtureRequest) -> Simulation:
    """Provide a finished run of a deployment."""
    simulation = Simulation(Deployment(request.param), 'apricotcart', SEED)
    simulation.run()
    return simulation


def longest_engine_queue(simulation: Simulation) -> int:
    """Return the largest number of requests queued inside an engine."""
    return max(engine.longest_queue for engine in simulation.engines.values())


def test_simulation_each_request_ends(finished: Simulation) -> None:
    """Guards against requests that are lost between hosts and engines."""
    assert all(record.outcome for record in finished.records.values())
    assert not finished.jobs


def test_simulation_hosts_do_not_overrun(finished: Simulation) -> None:
    """Guards against hosts that together exceed the slots of an endpoint."""
    assert longest_engine_queue(finished) == 0


def test_simulation_without_shares_overruns() -> None:
    """Shows that hosts without shares exceed the slots of endpoints."""
    simulation = Simulation(Deployment('sealdesk'), 'least-in-flight', SEED)
    simulation.run()
    assert longest_engine_queue(simulation) > 0


def test_simulation_crashing_request(finished: Simulation) -> None:
    """Guards against a crashing request that crashes a third endpoint."""
    assert finished.crash_counts['poison'] <= 2


def test_simulation_drained_zone(finished: Simulation) -> None:
    """Guards against requests sent to a draining zone after 3 s."""
    notice_at = finished.deployment.fault_numbers('reclaim')[0]
    cheap = [
        entry.name for entry in finished.deployment.endpoints if entry.cheap
    ]
    late = [
        name
        for at, name in finished.dispatches
        if name in cheap and notice_at + 3 < at < notice_at + 40
    ]
    assert not late
