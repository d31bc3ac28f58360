"""Seeded schedules of overlapping faults, and their runs."""

from __future__ import annotations

import random
import sys
import threading
import time
import traceback
from collections import defaultdict
from collections.abc import Collection
from pathlib import Path
from typing import Final

from soak.checks import Rule
from soak.faults import PROCESS_FAULTS, Fault, ProxyFault
from soak.world import World, running_world

_FAULTS: Final = 10
# Faults start within this time, in seconds.
_START_WITHIN_S: Final = 9.0
_PROXY_SHARE: Final = 0.3
_CALLERS: Final = 4
_ENDPOINTS: Final = 3
_VERSION_INTERVAL_S: Final = 0.7


class ScheduledFault:
    """A fault and when it starts, in seconds after the start of a run."""

    __slots__ = ('fault', 'start_s')

    def __init__(self, start_s: float, fault: Fault) -> None:
        self.start_s = start_s
        self.fault = fault


class StateChanges:
    """Replaces the desired state again and again, on a thread of its own."""

    __slots__ = ('_is_stopping', '_thread', '_world', 'acknowledged')

    def __init__(self, world: World) -> None:
        self.acknowledged = 1
        self._world = world
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Wait for the change in progress, and make no other."""
        self._is_stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_stopping.wait(_VERSION_INTERVAL_S):
            try:
                self._world.operator.replace(self.acknowledged + 1)
            except TimeoutError as exc:
                self._world.failures.append(str(exc))
                return
            self.acknowledged += 1


def run_seed(seed: int, folder: Path, rules: Collection[Rule]) -> list[str]:
    """Run a seeded schedule; return a line for each broken promise."""
    rng = random.Random(seed)
    gateways = rng.randint(1, 3)
    with running_world(
        folder, gateways=gateways, endpoints=_ENDPOINTS, has_proxies=True
    ) as world:
        for gateway in world.fleet.gateways:
            world.add_callers(gateway.ip, _CALLERS, rng)
            world.add_callers(
                gateway.ip, _CALLERS, rng, keeps_connections=False
            )
            world.add_callers(gateway.ip, _CALLERS, rng, is_proxied=True)
        changes = StateChanges(world)
        _inject(world, _schedule(world, rng))
        for gateway in world.fleet.gateways:
            world.await_served(gateway.ip)
        changes.stop()
        world.finish_callers()
        _check_state(world, changes.acknowledged)
        return world.find_faults(rules)


def _schedule(world: World, rng: random.Random) -> list[ScheduledFault]:
    starts = sorted(rng.uniform(0, _START_WITHIN_S) for _ in range(_FAULTS))
    return [ScheduledFault(start_s, _fault(world, rng)) for start_s in starts]


def _fault(world: World, rng: random.Random) -> Fault:
    fault_rng = random.Random(rng.random())
    if rng.random() < _PROXY_SHARE:
        return ProxyFault(rng.randrange(len(world.proxies)), fault_rng)
    kind = rng.choice(PROCESS_FAULTS)
    return kind(rng.choice(world.fleet.processes), fault_rng)


def _inject(world: World, schedule: list[ScheduledFault]) -> None:
    locks: defaultdict[str, threading.Lock] = defaultdict(threading.Lock)
    started_at = time.monotonic()
    threads = []
    for entry in schedule:
        time.sleep(max(0, started_at + entry.start_s - time.monotonic()))
        sys.stdout.write(f'{entry.start_s:.2f} s: {entry.fault}\n')
        lock = locks[entry.fault.target]
        threads.append(
            threading.Thread(target=_run, args=(world, entry.fault, lock))
        )
        threads[-1].start()
    for thread in threads:
        thread.join()


def _run(world: World, fault: Fault, lock: threading.Lock) -> None:
    with lock:
        try:
            fault.run(world)
        except Exception:
            world.failures.append(f'{fault}: {traceback.format_exc()}')


def _check_state(world: World, acknowledged: int) -> None:
    """Check that the state outlives a power failure of all coordinators."""
    for process in world.fleet.coordinators:
        process.kill()
    for process in world.fleet.coordinators:
        process.launch()
    newest = world.operator.fetch_version()
    if newest < acknowledged:
        world.failures.append(
            f'version {acknowledged} was acknowledged, but the newest is '
            f'{newest}'
        )
