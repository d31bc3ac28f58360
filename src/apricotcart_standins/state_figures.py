"""Measures the replicated state, its copies and the host lists.

Run with ``python -m apricotcart_standins.state_figures``.
"""

from __future__ import annotations

import argparse
import gc
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Any, Final

from apricotcart.codec.packing import pack, unpack
from apricotcart.distribution.configcopy import ConfigCopy
from apricotcart.distribution.responder import SyncResponder
from apricotcart.distribution.updates import ConfigUpdate
from apricotcart.membership.directory import HostDirectory
from apricotcart.membership.records import SERVING, HostReport
from apricotcart.membership.table import DISCOVERY_S, HostTable
from apricotcart.state.machine import ClusterState
from apricotcart_standins import sample_state as sample

#: Customers, endpoints and entry hosts of each scale.
SCALES: Final = (
    (10, 10, 6),
    (100, 100, 20),
    (1000, 1000, 100),
    (2300, 3400, 340),
)
SAMPLE_COUNT: Final = 2000
SLOW_SAMPLE_COUNT: Final = 20
ORDER_COUNT: Final = 10_000
_US_PER_S: Final = 1_000_000
_MS_PER_S: Final = 1000


def run() -> None:
    """Measure each scale and print one figure per line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--quick', action='store_true', help='measure the smallest scale only'
    )
    parser.add_argument('--orders', type=int, default=ORDER_COUNT)
    options = parser.parse_args()
    for scale in SCALES[:1] if options.quick else SCALES:
        measurement = StateMeasurement(*scale, orders=options.orders)
        measurement.measure_memory()
        measurement.measure_commands()
        measurement.measure_sync()
        measurement.measure_snapshot()
        measurement.measure_answers()


class StateMeasurement:
    """Measurements at one scale."""

    def __init__(
        self,
        customers: int,
        endpoints: int,
        hosts: int,
        *,
        orders: int,
    ) -> None:
        """Initialize an empty cluster state."""
        self._orders = orders
        self._customers = customers
        self._endpoints = endpoints
        self._hosts = hosts
        self._state = ClusterState()
        self._label = f'{customers} customers, {endpoints} endpoints'

    def measure_memory(self) -> None:
        """Fill the state and measure the memory per resource kind."""
        self._apply_changes(sample.shared_resources())
        self._measure_apply(sample.build_customers(self._customers))
        self._measure_apply(sample.build_keys(self._customers))
        self._measure_apply(sample.build_endpoints(self._endpoints))
        size = _measure_allocated_bytes(self._add_orders)
        self._print_figure(
            'bytes in memory per order record', size / self._orders
        )

    def measure_commands(self) -> None:
        """Measure the CPU time of single commands."""
        numbers = range(1, SAMPLE_COUNT + 1)
        weights = [
            sample.pack_command(
                'apply', changes=sample.build_customers(1, weight=number)
            )
            for number in range(2, SAMPLE_COUNT + 2)
        ]
        self._measure_command_time('apply of one customer', weights)
        orders = [
            sample.pack_order_begin(self._orders + number) for number in numbers
        ]
        self._measure_command_time('order_begin', orders)
        orders = [
            sample.pack_order_finish(self._orders + number)
            for number in numbers
        ]
        self._measure_command_time('order_finish', orders)
        self._measure_command_time(
            'usage_add', map(sample.pack_usage_add, numbers)
        )

    def measure_sync(self) -> None:
        """Measure synchronization replies and the copy on an entry host."""
        responder = SyncResponder(self._state)
        copy = ConfigCopy()
        full = responder.packed_update(None)
        self._print_figure('bytes of a sync reply, snapshot', len(full))
        size = _measure_allocated_bytes(lambda: _apply_update(copy, full))
        self._print_figure('bytes in memory of a copy', size)
        cpu_s = _median_cpu_s(
            lambda _: pack(responder.build_update(None).to_wire())
        )
        self._print_figure('ms to pack a snapshot reply', cpu_s * _MS_PER_S)
        cpu_s = _median_cpu_s(lambda _: _apply_update(copy, full))
        self._print_figure('ms to read and apply a snapshot', cpu_s * _MS_PER_S)
        revision = self._state.revision
        self._print_figure(
            'bytes of a sync reply, idle',
            len(responder.packed_update(revision)),
        )
        cpu_s = _median_cpu_s(
            lambda _: responder.packed_update(revision), range(SAMPLE_COUNT)
        )
        self._print_figure('us per idle sync reply', cpu_s * _US_PER_S)
        self._measure_change(sample.build_customers(1, weight=1))
        self._measure_change(sample.build_keys(1, withdrawn=True))
        self._measure_change(sample.build_endpoints(1, leaving=True))

    def measure_snapshot(self) -> None:
        """Measure snapshot and restore of the state with its orders."""
        blob = self._state.snapshot()
        self._print_figure('bytes of a state snapshot', len(blob))
        cpu_s = _median_cpu_s(lambda _: self._state.snapshot())
        self._print_figure('ms per state snapshot', cpu_s * _MS_PER_S)
        cpu_s = _median_cpu_s(lambda _: ClusterState().restore(blob))
        self._print_figure('ms per restore', cpu_s * _MS_PER_S)

    def measure_answers(self) -> None:
        """Measure the host list and the answers from the directory."""
        table = HostTable(0)
        for number in range(self._hosts):
            table.on_sync(DISCOVERY_S, _build_report(number))
        host_list = table.list_for(DISCOVERY_S, None)
        name = f'{self._hosts} entry hosts'
        self._print_figure(
            f'bytes of the list of {name}', len(pack(host_list.to_wire()))
        )
        cpu_s = _median_cpu_s(
            lambda _: table.list_for(DISCOVERY_S, host_list.digest)
        )
        self._print_figure(
            f'us per unchanged list of {name}', cpu_s * _US_PER_S
        )
        directory = HostDirectory(zone='zone0', rng=random.Random(0))
        directory.apply(host_list, 0)
        cpu_s = _median_cpu_s(
            lambda _: directory.answer(1), range(SAMPLE_COUNT)
        )
        self._print_figure(f'us per answer with {name}', cpu_s * _US_PER_S)

    def _measure_change(self, changes: list[sample.Change]) -> None:
        copy = ConfigCopy()
        responder = SyncResponder(self._state)
        copy.apply(responder.build_update(None), 0)
        revision = self._state.revision
        self._apply_changes(changes)
        delta = responder.packed_update(revision)
        kind = changes[0]['kind']
        self._print_figure(f'bytes of a sync reply, one {kind}', len(delta))
        update = ConfigUpdate.from_bytes(delta)
        cpu_s = _median_cpu_s(lambda _: copy.view.updated(update))
        self._print_figure(
            f'us to apply one {kind} to a copy', cpu_s * _US_PER_S
        )

    def _add_orders(self) -> None:
        for number in range(self._orders):
            self._state.apply(1, sample.pack_order_begin(number))
            self._state.apply(1, sample.pack_order_finish(number))

    def _measure_apply(self, changes: list[sample.Change]) -> None:
        size = _measure_allocated_bytes(lambda: self._apply_changes(changes))
        kind = changes[0]['kind']
        self._print_figure(f'bytes in memory per {kind}', size / len(changes))

    def _apply_changes(self, changes: list[sample.Change]) -> None:
        blob = sample.pack_command('apply', changes=changes)
        reply = unpack(self._state.apply(1, blob))
        if not reply['ok']:
            sys.exit(str(reply))

    def _measure_command_time(
        self, name: str, commands: Iterable[bytes]
    ) -> None:
        # Packed before the measurement: the sender, not the state, packs.
        prepared = list(commands)
        cpu_s = _median_cpu_s(lambda blob: self._state.apply(1, blob), prepared)
        self._print_figure(f'us per {name}', cpu_s * _US_PER_S)

    def _print_figure(self, name: str, figure: float) -> None:
        sys.stdout.write(f'{self._label}: {name}: {figure:.1f}\n')


def _apply_update(copy: ConfigCopy, blob: bytes) -> None:
    copy.apply(ConfigUpdate.from_bytes(blob), 0)


def _median_cpu_s(
    action: Callable[[Any], object],
    samples: Iterable[object] | None = None,
) -> float:
    """Return the median CPU time of an action over samples, in seconds."""
    durations = []
    for argument in samples or range(SLOW_SAMPLE_COUNT):
        started = time.process_time()
        action(argument)
        durations.append(time.process_time() - started)
    return statistics.median(durations)


def _measure_allocated_bytes(action: Callable[[], None]) -> int:
    """Return the bytes allocated by an action and not freed."""
    gc.collect()
    tracemalloc.start()
    action()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _build_report(number: int) -> HostReport:
    return HostReport(
        host=sample.numbered_name('entry-host-', number),
        incarnation=1,
        address=sample.numbered_name('10.0.0.1:', number),
        zone=sample.numbered_name('zone', number % sample.ZONE_COUNT),
        state=SERVING,
    )


if __name__ == '__main__':
    run()
