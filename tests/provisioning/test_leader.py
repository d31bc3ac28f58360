"""Seeded simulations of three hosts under random faults."""

from __future__ import annotations

from typing import Any

import pytest
from platform_sweep import (
    ALL_FAULTS,
    IGNORE_FENCING,
    NO_WAIT,
    SENDER_FAULTS,
    run_faults,
)
from platform_world import UncommittedUsage, World

from apricotcart.provisioning.api import Request


@pytest.mark.parametrize(
    'kind', ['apply', 'fencing_take', 'set_status', 'usage_close']
)
def test_leader_refused_commands(kind: str) -> None:
    """Guards against a refused command that floods the replicated log."""
    world = World(1)
    world.refused_kind = kind
    world.state.demand = 6
    world.state.add_usage(0, 'a', 1)
    world.elect(world.hosts[0])
    world.run(100)
    assert 1 <= world.commands[kind] <= 200


def test_leader_old_token() -> None:
    """Guards against sending a request decided under an earlier token."""
    world = World(1)
    host = world.hosts[0]
    world.elect(host)
    world.run(6)
    body = {'fencing': host.duties.fencing_token}
    request = Request(ticket=1, path='/usage', body=body)
    assert host.duties.deadline_for(host.clock(), request)
    body['fencing'] -= 1
    assert host.duties.deadline_for(host.clock(), request) is None


SEEDS = range(1, 9)


@pytest.mark.parametrize('seed', SEEDS)
def test_leader_receiver_checks(seed: int) -> None:
    """Guards against effects of an old holder and conflicting reports."""
    outcome = run_faults(seed, ALL_FAULTS)
    assert outcome.holders > 1
    assert outcome.accepted_in_order
    assert not outcome.conflicts


@pytest.mark.parametrize('seed', SEEDS)
def test_leader_receiver_ignores(seed: int) -> None:
    """Guards against late arrivals where the receiver ignores the token."""
    outcome = run_faults(seed, SENDER_FAULTS, IGNORE_FENCING)
    assert outcome.holders > 1
    assert outcome.arrived_in_order
    assert not outcome.conflicts


@pytest.mark.parametrize(
    ('kinds', 'variant'),
    [
        (SENDER_FAULTS, {'timing': NO_WAIT}),
        (SENDER_FAULTS, {'skips_permit': True}),
        (ALL_FAULTS, {}),
    ],
    ids=['no_wait', 'no_permit', 'no_fencing'],
)
def test_leader_naive_order(
    kinds: tuple[str, ...], variant: dict[str, Any]
) -> None:
    """Shows that the runs above fail without wait, permit or fencing."""
    outcomes = [
        run_faults(seed, kinds, IGNORE_FENCING, **variant) for seed in SEEDS
    ]
    assert not all(outcome.arrived_in_order for outcome in outcomes)


def test_leader_naive_usage() -> None:
    """Shows that the runs above fail if windows are not closed first."""
    outcomes = [
        run_faults(seed, ALL_FAULTS, state=UncommittedUsage()) for seed in SEEDS
    ]
    assert any(outcome.conflicts for outcome in outcomes)
