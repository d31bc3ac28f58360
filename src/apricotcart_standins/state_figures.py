"""Measures the replicated state, its copies and the host answers.

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
from apricotcart.membership.table import LEARN_S, HostTable
from apricotcart.state.machine import ClusterState
from apricotcart_standins import sample_state as sample

#: Customers, endpoints and entry hosts of each step.
SCALES: Final = (
    (10, 10, 6),
    (100, 100, 20),
    (1000, 1000, 100),
    (2300, 3400, 340),
)
SAMPLES: Final = 2000
FEW_SAMPLES: Final = 20
ORDERS: Final = 10_000
_US: Final = 1_000_000
_MS: Final = 1000


def run() -> None:
    """Measure at each scale and print one figure a line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true', help='smallest only')
    parser.add_argument('--orders', type=int, default=ORDERS)
    options = parser.parse_args()
    for scale in SCALES[:1] if options.quick else SCALES:
        figures = Figures(*scale, orders=options.orders)
        figures.memory()
        figures.commands()
        figures.sync()
        figures.snapshot()
        figures.answers()


class Figures:
    """Figures of one scale."""

    def __init__(
        self,
        customers: int,
        endpoints: int,
        hosts: int,
        *,
        orders: int,
    ) -> None:
        """Build the state of the scale."""
        self._orders = orders
        self._customers = customers
        self._endpoints = endpoints
        self._hosts = hosts
        self._state = ClusterState()
        self._label = f'{customers} customers, {endpoints} endpoints'

    def memory(self) -> None:
        """Fill the state and measure the bytes of each kind."""
        self._put_all(sample.common())
        self._put_measured(sample.customers(self._customers))
        self._put_measured(sample.keys(self._customers))
        self._put_measured(sample.endpoints(self._endpoints))
        size = _allocated(self._fill_orders)
        self._show('bytes in memory per order record', size / self._orders)

    def commands(self) -> None:
        """Measure the time of single commands, in us."""
        numbers = range(1, SAMPLES + 1)
        weights = [
            sample.command('apply', changes=sample.customers(1, weight=number))
            for number in range(2, SAMPLES + 2)
        ]
        self._time('apply of one customer', weights)
        orders = [
            sample.order_begin(self._orders + number) for number in numbers
        ]
        self._time('order_begin', orders)
        orders = [
            sample.order_finish(self._orders + number) for number in numbers
        ]
        self._time('order_finish', orders)
        self._time('usage_add', map(sample.usage_add, numbers))

    def sync(self) -> None:
        """Measure sync replies and the copy on an entry host."""
        responder = SyncResponder(self._state)
        copy = ConfigCopy()
        full = responder.packed(None)
        self._show('bytes of a sync reply, snapshot', len(full))
        size = _allocated(lambda: _read(copy, full))
        self._show('bytes in memory of a copy', size)
        spent = _each(lambda _: pack(responder.respond(None).to_wire()))
        self._show('ms to pack a snapshot reply', spent * _MS)
        spent = _each(lambda _: _read(copy, full))
        self._show('ms to read and apply a snapshot', spent * _MS)
        held = self._state.revision
        self._show('bytes of a sync reply, idle', len(responder.packed(held)))
        spent = _each(lambda _: responder.packed(held), range(SAMPLES))
        self._show('us per idle sync reply', spent * _US)
        self._change(sample.customers(1, weight=1))
        self._change(sample.keys(1, withdrawn=True))
        self._change(sample.endpoints(1, leaving=True))

    def snapshot(self) -> None:
        """Measure snapshot and restore, with the order records."""
        blob = self._state.snapshot()
        self._show('bytes of a state snapshot', len(blob))
        spent = _each(lambda _: self._state.snapshot())
        self._show('ms per state snapshot', spent * _MS)
        spent = _each(lambda _: ClusterState().restore(blob))
        self._show('ms per restore', spent * _MS)

    def answers(self) -> None:
        """Measure the host list and the answers to callers."""
        table = HostTable(0)
        for number in range(self._hosts):
            table.on_sync(LEARN_S, _report(number))
        listed = table.list_for(LEARN_S, None)
        name = f'{self._hosts} entry hosts'
        self._show(f'bytes of the list of {name}', len(pack(listed.to_wire())))
        spent = _each(lambda _: table.list_for(LEARN_S, listed.digest))
        self._show(f'us per unchanged list of {name}', spent * _US)
        directory = HostDirectory(zone='zone0', rng=random.Random(0))
        directory.apply(listed, 0)
        spent = _each(lambda _: directory.answer(1), range(SAMPLES))
        self._show(f'us per answer with {name}', spent * _US)

    def _change(self, changes: list[sample.Change]) -> None:
        copy = ConfigCopy()
        responder = SyncResponder(self._state)
        copy.apply(responder.respond(None), 0)
        held = self._state.revision
        self._put_all(changes)
        delta = responder.packed(held)
        kind = changes[0]['kind']
        self._show(f'bytes of a sync reply, one {kind}', len(delta))
        update = ConfigUpdate.from_bytes(delta)
        spent = _each(lambda _: copy.view.updated(update))
        self._show(f'us to apply one {kind} to a copy', spent * _US)

    def _fill_orders(self) -> None:
        for number in range(self._orders):
            self._state.apply(1, sample.order_begin(number))
            self._state.apply(1, sample.order_finish(number))

    def _put_measured(self, changes: list[sample.Change]) -> None:
        size = _allocated(lambda: self._put_all(changes))
        kind = changes[0]['kind']
        self._show(f'bytes in memory per {kind}', size / len(changes))

    def _put_all(self, changes: list[sample.Change]) -> None:
        blob = sample.command('apply', changes=changes)
        reply = unpack(self._state.apply(1, blob))
        if not reply['ok']:
            sys.exit(str(reply))

    def _time(self, name: str, commands: Iterable[bytes]) -> None:
        # Packed before, since the time to pack is that of the sender.
        prepared = list(commands)
        spent = _each(lambda blob: self._state.apply(1, blob), prepared)
        self._show(f'us per {name}', spent * _US)

    def _show(self, name: str, figure: float) -> None:
        sys.stdout.write(f'{self._label}: {name}: {figure:.1f}\n')


def _read(copy: ConfigCopy, blob: bytes) -> None:
    copy.apply(ConfigUpdate.from_bytes(blob), 0)


def _each(
    action: Callable[[Any], object],
    samples: Iterable[object] | None = None,
) -> float:
    """Give the median CPU time in s of an action on each sample."""
    spent = []
    for each in samples or range(FEW_SAMPLES):
        started = time.process_time()
        action(each)
        spent.append(time.process_time() - started)
    return statistics.median(spent)


def _allocated(action: Callable[[], None]) -> int:
    """Give the bytes that are still allocated after an action."""
    gc.collect()
    tracemalloc.start()
    action()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _report(number: int) -> HostReport:
    return HostReport(
        host=sample.named('entry-host-', number),
        incarnation=1,
        address=sample.named('10.0.0.1:', number),
        zone=sample.named('zone', number % sample.ZONES),
        state=SERVING,
    )


if __name__ == '__main__':
    run()
