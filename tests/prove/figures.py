"""Measures times on real processes and compares them with the targets."""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from prove.actions import Actions
from prove.expectations import Expectations
from prove.language import ScenarioError, parse_steps
from prove.world import GUILD, World

_RUNS = 20
_MS = 1000
_ONE_WAY_MS = 4.5
_ROUTE = 'kind=chat class=drafts pool=drafting model=writer idempotent=true'
_NO_TARGET = 'none stated'
_TARGET_FORCE_S = 2.0
_TARGET_FORCE_DEATH_S = 8.0
_TARGET_KEY_S = 5.0
_TARGET_WRITE_S = 3.0
_START_TIMEOUT = 'within=60'


class Bench:
    """A running cluster, controlled by lines of the scenario language."""

    def __init__(self, world: World) -> None:
        self.world = world
        self._actions = Actions(world)
        self._expectations = Expectations(world)

    def run_step(self, line: str) -> None:
        """Run the step of one line."""
        step = parse_steps(line)[0]
        if step.verb == 'expect':
            self._expectations.expect(step)
            return
        verbs = {
            'start': self._actions.start,
            'kill': self._actions.kill,
            'delay': self._actions.delay,
            'declare': self._actions.declare,
            'withdraw': self._actions.withdraw,
            'name': self._actions.name,
            'order': self._actions.order,
        }
        verbs[step.verb](step)

    def run_timed(self, *lines: str) -> float:
        """Run steps and return the seconds since the last change or fault."""
        for line in lines:
            self.run_step(line)
        return time.monotonic() - self.world.fault_at


def measure(count: int) -> int:
    """Print the table and return 1 if a target is missed, else 0."""
    runs = count or _RUNS
    rows = [
        _print_row(
            'change in force, no fault',
            _measure_in_force(runs),
            _TARGET_FORCE_S,
        ),
        _print_row(
            'key refused everywhere', _measure_withdrawals(runs), _TARGET_KEY_S
        ),
    ]
    writes, forces = _measure_leader_deaths(runs)
    rows.append(
        _print_row('leader death to next write', writes, _TARGET_WRITE_S)
    )
    rows.append(
        _print_row(
            'change in force, leader dies', forces, _TARGET_FORCE_DEATH_S
        ),
    )
    _measure_orders(runs)
    for changes in (500, 5000):
        _print_row(
            f'control restart, {changes} changes', _measure_restart(changes), 0
        )
    return 0 if all(rows) else 1


@contextmanager
def _open_bench(options: str = '') -> Iterator[Bench]:
    with tempfile.TemporaryDirectory(prefix='apricotcart-prove-') as name:
        world = World(Path(name))
        try:
            bench = Bench(world)
            bench.run_step(f'start cluster {options}')
            yield bench
        finally:
            world.stop()


def _measure_in_force(runs: int) -> list[float]:
    with _open_bench() as bench:
        return [
            bench.run_timed(
                f'declare route r{number} {_ROUTE}',
                f'expect in-force r{number} within=60',
            )
            for number in range(runs)
        ]


def _measure_withdrawals(runs: int) -> list[float]:
    with _open_bench() as bench:
        return [_time_withdrawal(bench, f'k{number}') for number in range(runs)]


def _time_withdrawal(bench: Bench, key: str) -> float:
    bench.run_step(f'declare key {key} customer=guild')
    bench.run_step(f'expect served {key} {_START_TIMEOUT}')
    return bench.run_timed(f'withdraw {key}', f'expect refused {key} within=60')


def _measure_leader_deaths(runs: int) -> tuple[list[float], list[float]]:
    writes: list[float] = []
    forces: list[float] = []
    with _open_bench() as bench:
        for number in range(runs):
            bench.run_step('name old leader')
            bench.run_step(f'declare route r{number} {_ROUTE}')
            declared_at = bench.world.fault_at
            writes.append(bench.run_timed('kill old', 'expect write within=60'))
            # Measured after the write, so this is an upper bound.
            bench.run_step(f'expect in-force r{number} within=60')
            forces.append(time.monotonic() - declared_at)
            bench.run_step('start old')
            _wait_for_followers(bench)
    return writes, forces


def _wait_for_followers(bench: Bench) -> None:
    """Wait for the restarted host, so that the next fault meets three hosts."""
    cluster = bench.world.cluster
    for name, address in cluster.control_addresses.items():
        cluster.wait_serving(name, address)
    time.sleep(2)


def _measure_orders(runs: int) -> None:
    """Compare an order with an idempotent call under a delay between hosts."""
    with _open_bench() as bench:
        bench.run_step(f'delay controls controls ms={_ONE_WAY_MS}')
        bench.run_step(f'delay entries controls ms={_ONE_WAY_MS}')
        world = bench.world
        spec = 'kind=service class=bookings pool=press-room idempotent=true'
        bench.run_step(f'declare route stock {spec}')
        time.sleep(_TARGET_FORCE_S)
        lookups = _time_calls(runs, lambda number: _send_lookup(world))
        orders = _time_calls(
            runs, lambda number: bench.run_step(f'order e1 o{number}')
        )
    title = f'order, {_ONE_WAY_MS} ms one way'
    _print_row('idempotent call, same delay', lookups, 0)
    _print_row(title, orders, 0)
    added = statistics.median(orders) - statistics.median(lookups)
    sys.stdout.write(f'order record adds {added * _MS:.1f} ms at the median\n')


def _time_calls(runs: int, call: Callable[[int], None]) -> list[float]:
    durations_s: list[float] = []
    for number in range(runs):
        started = time.monotonic()
        call(number)
        durations_s.append(time.monotonic() - started)
    return durations_s


def _send_lookup(world: World) -> None:
    reply = world.callers.http.request(
        'POST',
        f'{world.url("e1")}/v1/services/stock/lookup',
        json={'order': 'none'},
        headers={'Authorization': f'Bearer {world.secret(GUILD)}'},
    )
    if reply.status != 200:
        raise ScenarioError(f'the lookup failed with status {reply.status}')


def _measure_restart(changes: int) -> list[float]:
    """Measure from the start of a process until it has caught up."""
    with _open_bench('entries=1') as bench:
        bench.run_step(
            f'declare customer many-@ weight=2 version=held count={changes}',
        )
        world = bench.world
        bench.run_step('name old leader')
        followers = [
            name for name in world.cluster.control_addresses if name != 'c1'
        ]
        name = [
            follower
            for follower in followers
            if follower != world.process_name('old')
        ][0]
        world.child(name).kill()
        started = time.monotonic()
        world.cluster.start_control(name)
        world.cluster.wait_serving(name, world.cluster.control_addresses[name])
        target_revision = world.cluster.request_as_operator(
            'GET', '/v1/status'
        )['revision']
        while _revision(world, name) < target_revision:
            time.sleep(0.01)
        return [time.monotonic() - started]


def _revision(world: World, name: str) -> int:
    token = world.cluster.operator_token
    status = world.callers.get(f'{world.url(name)}/v1/status', token)
    return int(status['revision'])


def _print_row(title: str, durations_s: list[float], target_s: float) -> bool:
    worst = max(durations_s)
    target = f'under {target_s:.0f} s' if target_s else _NO_TARGET
    sys.stdout.write(
        f'{title:32} median {statistics.median(durations_s) * _MS:8.1f} ms  '
        f'worst {worst * _MS:8.1f} ms  of {len(durations_s):3}  {target}\n'
    )
    sys.stdout.flush()
    return not target_s or worst < target_s
