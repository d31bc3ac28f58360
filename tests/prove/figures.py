"""Measures times on real processes against the stated targets."""

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
    """One running cluster, driven by lines of the scenario language."""

    def __init__(self, world: World) -> None:
        """Keep the world."""
        self.world = world
        self._actions = Actions(world)
        self._expectations = Expectations(world)

    def take(self, line: str) -> None:
        """Take one step."""
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

    def timed(self, *lines: str) -> float:
        """Take steps and give the seconds since the last change or fault."""
        for line in lines:
            self.take(line)
        return time.monotonic() - self.world.fault_at


def measure(count: int) -> int:
    """Print the table; gives 1 if a target is missed."""
    runs = count or _RUNS
    rows = [
        _row('change in force, no fault', _in_force(runs), _TARGET_FORCE_S),
        _row('key refused everywhere', _withdrawal(runs), _TARGET_KEY_S),
    ]
    writes, forces = _deaths(runs)
    rows.append(_row('leader death to next write', writes, _TARGET_WRITE_S))
    rows.append(
        _row('change in force, leader dies', forces, _TARGET_FORCE_DEATH_S),
    )
    _orders(runs)
    for changes in (500, 5000):
        _row(f'control restart, {changes} changes', _restart(changes), 0)
    return 0 if all(rows) else 1


@contextmanager
def _bench(options: str = '') -> Iterator[Bench]:
    with tempfile.TemporaryDirectory(prefix='apricotcart-prove-') as name:
        world = World(Path(name))
        try:
            bench = Bench(world)
            bench.take(f'start cluster {options}')
            yield bench
        finally:
            world.stop()


def _in_force(runs: int) -> list[float]:
    with _bench() as bench:
        return [
            bench.timed(
                f'declare route r{number} {_ROUTE}',
                f'expect in-force r{number} within=60',
            )
            for number in range(runs)
        ]


def _withdrawal(runs: int) -> list[float]:
    with _bench() as bench:
        return [_withdrawn(bench, f'k{number}') for number in range(runs)]


def _withdrawn(bench: Bench, key: str) -> float:
    bench.take(f'declare key {key} customer=guild')
    bench.take(f'expect served {key} {_START_TIMEOUT}')
    return bench.timed(f'withdraw {key}', f'expect refused {key} within=60')


def _deaths(runs: int) -> tuple[list[float], list[float]]:
    writes: list[float] = []
    forces: list[float] = []
    with _bench() as bench:
        for number in range(runs):
            bench.take('name old leader')
            bench.take(f'declare route r{number} {_ROUTE}')
            declared_at = bench.world.fault_at
            writes.append(bench.timed('kill old', 'expect write within=60'))
            # Polled after the write, so this is an upper bound.
            bench.take(f'expect in-force r{number} within=60')
            forces.append(time.monotonic() - declared_at)
            bench.take('start old')
            _rest(bench)
    return writes, forces


def _rest(bench: Bench) -> None:
    """Let a started host catch up, so that the next fault meets three."""
    cluster = bench.world.cluster
    for name, site in cluster.api.items():
        cluster.wait_serving(name, site)
    time.sleep(2)


def _orders(runs: int) -> None:
    """Compare an order with a direct call, with a delay between hosts."""
    with _bench() as bench:
        bench.take(f'delay controls controls ms={_ONE_WAY_MS}')
        bench.take(f'delay entries controls ms={_ONE_WAY_MS}')
        world = bench.world
        spec = 'kind=service class=bookings pool=press-room idempotent=true'
        bench.take(f'declare route stock {spec}')
        time.sleep(_TARGET_FORCE_S)
        lookups = _calls(runs, lambda number: _lookup(world))
        orders = _calls(runs, lambda number: bench.take(f'order e1 o{number}'))
    title = f'order, {_ONE_WAY_MS} ms one way'
    _row('idempotent call, same delay', lookups, 0)
    _row(title, orders, 0)
    added = statistics.median(orders) - statistics.median(lookups)
    sys.stdout.write(f'order record adds {added * _MS:.1f} ms at the median\n')


def _calls(runs: int, call: Callable[[int], None]) -> list[float]:
    taken: list[float] = []
    for number in range(runs):
        started = time.monotonic()
        call(number)
        taken.append(time.monotonic() - started)
    return taken


def _lookup(world: World) -> None:
    reply = world.callers.http.request(
        'POST',
        f'{world.url("e1")}/v1/services/stock/lookup',
        json={'order': 'none'},
        headers={'Authorization': f'Bearer {world.secret(GUILD)}'},
    )
    if reply.status != 200:
        raise ScenarioError(f'the lookup failed: {reply.status}')


def _restart(changes: int) -> list[float]:
    """Measure from the start of a process until it has caught up."""
    with _bench('entries=1') as bench:
        bench.take(
            f'declare customer many-@ weight=2 version=held count={changes}',
        )
        world = bench.world
        bench.take('name old leader')
        followers = [name for name in world.cluster.api if name != 'c1']
        name = [each for each in followers if each != world.process('old')][0]
        world.child(name).kill()
        started = time.monotonic()
        world.cluster.start_control(name)
        world.cluster.wait_serving(name, world.cluster.api[name])
        wanted = world.cluster.operator('GET', '/v1/status')['revision']
        while _revision(world, name) < wanted:
            time.sleep(0.01)
        return [time.monotonic() - started]


def _revision(world: World, name: str) -> int:
    token = world.cluster.operator_token
    status = world.callers.get(f'{world.url(name)}/v1/status', token)
    return int(status['revision'])


def _row(title: str, taken: list[float], target_s: float) -> bool:
    worst = max(taken)
    target = f'under {target_s:.0f} s' if target_s else _NO_TARGET
    sys.stdout.write(
        f'{title:32} median {statistics.median(taken) * _MS:8.1f} ms  '
        f'worst {worst * _MS:8.1f} ms  of {len(taken):3}  {target}\n'
    )
    sys.stdout.flush()
    return not target_s or worst < target_s
