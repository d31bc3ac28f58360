"""Runs seeds with random faults, with and without each safety mechanism.

``PYTHONPATH=src:tests:tools python -m platform_sweep 100`` prints in how many
of 100 runs requests arrived out of order or a window got two figures.
"""

from __future__ import annotations

import random
import sys
from typing import Any

from platform_world import FakeHost, UncommittedUsage, World

from apricotcart.provisioning.authority import AuthorityTiming

ROUNDS = 16
# Requests keep their deadline of 1 s, but the wait after the fencing number
# is taken is 0 s: the lease of -1 s cancels the 1 s in flight.
NO_WAIT = AuthorityTiming(lease_s=-1, in_flight_s=1)
IGNORE_FENCING = '--ignore-fencing'

# Faults that the sender's checks tolerate even if the receiver checks nothing.
SENDER_FAULTS = ('freeze', 'cut', 'elect')
ALL_FAULTS = (*SENDER_FAULTS, 'pause_clock', 'freeze_after_check')


class Outcome:
    """Order and conflicts that one run showed."""

    def __init__(self, world: World) -> None:
        """Evaluate the platform's records."""
        accepted = world.accepted_fencing()
        arrived = world.arrived_fencing()
        self.accepted_in_order = accepted == sorted(accepted)
        self.arrived_in_order = arrived == sorted(arrived)
        self.conflicts = world.usage_conflicts()
        self.holders = len(set(accepted))
        self.records = len(arrived)


def run_faults(
    seed: int,
    kinds: tuple[str, ...],
    *options: str,
    **variant: Any,
) -> Outcome:
    """Run three hosts with random faults of the given kinds."""
    world = World(seed, *options, **variant)
    rng = random.Random(seed)
    world.elect(world.hosts[0])
    for _ in range(ROUNDS):
        world.state.demand = rng.choice((0, 40, 120, 240))
        for customer in 'abcdefgh':
            window = int(world.now // 5)
            world.state.add_usage(window, customer, rng.randint(1, 9))
        world.run(rng.uniform(1, 7))
        _inject_fault(world, rng, rng.choice(kinds))
        if rng.choice((True, True, False)):
            world.elect(rng.choice(world.hosts))
        _heal_random_hosts(world, rng)
    world.run(10)
    return Outcome(world)


def _inject_fault(world: World, rng: random.Random, kind: str) -> None:
    host = world.leader or world.hosts[0]
    duration_s = rng.uniform(0.1, 6)
    if kind == 'cut':
        host.is_cut = True
    elif kind != 'elect':
        host.freeze(duration_s, with_clock=kind == 'pause_clock')
    if kind == 'freeze_after_check':
        _send_queued(world, host)
    world.answer_loss = rng.choice((0, 0.3))
    world.delay_s = rng.choice((None, 0.95))


def _send_queued(world: World, host: FakeHost) -> None:
    for request in host.queue:
        if request.body.get('fencing') == host.duties.fencing_token:
            world.transmit(host, request, 1)


def _heal_random_hosts(world: World, rng: random.Random) -> None:
    for host in world.hosts:
        host.is_cut = host.is_cut and rng.choice((True, False))


def main(seeds: int) -> None:
    """Print in how many runs each variant broke a guarantee."""
    variants: dict[str, Any] = {
        'receiver checks, all faults': (ALL_FAULTS, (), {}),
        'receiver ignores, sender faults': (
            SENDER_FAULTS,
            (IGNORE_FENCING,),
            {},
        ),
        'naive: no wait': (
            SENDER_FAULTS,
            (IGNORE_FENCING,),
            {'timing': NO_WAIT},
        ),
        'naive: no check before the send': (
            SENDER_FAULTS,
            (IGNORE_FENCING,),
            {'skips_permit': True},
        ),
        'naive: no fencing': (ALL_FAULTS, (IGNORE_FENCING,), {}),
    }
    for name, (kinds, options, variant) in variants.items():
        outcomes = [
            run_faults(seed, kinds, *options, **variant)
            for seed in range(1, seeds + 1)
        ]
        _print_outcomes(name, outcomes)
    naive = [
        run_faults(seed, ALL_FAULTS, state=UncommittedUsage())
        for seed in range(1, seeds + 1)
    ]
    _print_outcomes('naive: windows not closed', naive)


def _print_outcomes(name: str, outcomes: list[Outcome]) -> None:
    bad_order = sum(not outcome.accepted_in_order for outcome in outcomes)
    conflicts = sum(bool(outcome.conflicts) for outcome in outcomes)
    holders = sum(outcome.holders for outcome in outcomes)
    records = sum(outcome.records for outcome in outcomes)
    sys.stdout.write(
        f'{name}: {len(outcomes)} runs, {holders} holders, '
        f'{records} arrivals, {bad_order} runs out of order, '
        f'{conflicts} runs with two figures\n',
    )


if __name__ == '__main__':
    main(int(sys.argv[1]))
