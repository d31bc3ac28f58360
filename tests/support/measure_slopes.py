"""Measures what grows with hosts, endpoints and customers."""

from __future__ import annotations

import argparse
import sys
import tempfile
import threading
import time
from collections.abc import Iterable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import psutil

from apricotcart.codec.envelope import Sealer
from apricotcart.codec.packing import pack
from apricotcart.distribution.updates import ConfigUpdate
from apricotcart.endpoints.records import Endpoint
from apricotcart.endpoints.subsets import Subsets
from apricotcart.entry.control_link import ControlLink
from apricotcart.errors.tree import UnavailableError
from apricotcart.scheduling.decisions import Demand, TierDemand
from apricotcart.scheduling.shares import divide
from apricotcart.transport.requests import NngRequestClient
from support.cluster import Cluster
from support.demo import start

HOSTS = (0, 40, 80, 160, 320)
CUSTOMERS = 2300
ENDPOINTS = 3400
POOLS = 15
TIERS = 6
WATCH_S = 6.0
SYNC_INTERVAL_S = 0.5
_MIB = 1 << 20
_SENDERS = 32


class SyncLoad:
    """Sends the syncs of many entry hosts from a few threads."""

    def __init__(self, cluster: Cluster, hosts: int) -> None:
        """Share the hosts among the threads."""
        self.sent_bytes = 0
        self.received_bytes = 0
        self.syncs = 0
        self.failures = 0
        self.worst_s: float = 0
        self._cluster = cluster
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(list(range(first, hosts, _SENDERS)),),
            )
            for first in range(min(_SENDERS, hosts))
        ]

    def start(self) -> None:
        """Start sending."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, numbers: list[int]) -> None:
        secret = (self._cluster.folder / 'cluster.secret').read_bytes()
        sealer = Sealer(secret.strip())
        link = ControlLink(
            {
                address: NngRequestClient(address, sealer)
                for address in self._cluster.rpc_addresses().values()
            },
        )
        # All but the first sync of a host start from a known revision: the
        # cost of a first snapshot is not what grows with the hosts.
        known: dict[str, Any] = {}
        self._sync(link, numbers[0], known)
        held = {number: dict(known) for number in numbers}
        while not self._stop.is_set():
            due = time.monotonic() + SYNC_INTERVAL_S
            for number in numbers:
                self._sync(link, number, held[number])
            self._stop.wait(max(0, due - time.monotonic()))
        link.close()

    def _sync(
        self,
        link: ControlLink,
        number: int,
        held: dict[str, Any],
    ) -> None:
        message = sync_message(number, held)
        started = time.perf_counter()
        try:
            reply = link.call(message, 5)
        except UnavailableError:
            self.failures += 1
            return
        elapsed = time.perf_counter() - started
        held['revision'] = _revision(reply)
        held['hosts'] = reply['hosts']['digest']
        with self._lock:
            self.syncs += 1
            self.worst_s = max(self.worst_s, elapsed)
            self.sent_bytes += len(pack(message))
            self.received_bytes += len(pack(reply))


def sync_message(number: int, held: dict[str, Any]) -> dict[str, Any]:
    """Give the sync of one host that is busy in every tier."""
    tiers = [
        TierDemand(pool='drafting', tier=tier, queued=1, in_flight=2)
        for tier in range(TIERS)
    ]
    return {
        'kind': 'sync',
        'host': f'load-{number}',
        'zone': f'zone-{number % 21}',
        'address': f'http://127.1.{number // 250}.{number % 250}:8080',
        'incarnation': 1,
        'state': 'serving',
        'revision': held.get('revision'),
        'hosts': held.get('hosts'),
        'demand': Demand(tiers=tiers, running={'engine-1': 8}).to_wire(),
        'suspects': [],
    }


def main() -> int:
    """Print the figures as tables."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    _print_division()
    with ExitStack() as stack:
        name = stack.enter_context(tempfile.TemporaryDirectory())
        cluster, _ = start(Path(name), entries=1)
        stack.callback(cluster.stop)
        _print_idle(cluster, 'few resources')
        _declare_many(cluster)
        time.sleep(WATCH_S)
        _print_idle(cluster, f'{CUSTOMERS} customers and {ENDPOINTS} endpoints')
        for hosts in HOSTS:
            _print_syncs(cluster, hosts)
    return 0


def _print_division() -> None:
    _write('division of slots on the leader, ms', 'hosts', 'endpoints', 'ms')
    for hosts, endpoints in ((7, 10), (34, 340), (340, 340), (340, ENDPOINTS)):
        elapsed = _division_s(hosts, endpoints)
        _write('', str(hosts), str(endpoints), f'{elapsed * 1000:.2f}')


def _division_s(hosts: int, endpoints: int) -> float:
    listed = [
        Endpoint(name=f'e{number}', pool=f'p{number % POOLS}', slots=8)
        for number in range(endpoints)
    ]
    demands = {
        f'h{number}': Demand(
            tiers=[
                TierDemand(pool=f'p{pool}', tier=tier, queued=1, in_flight=1)
                for pool in range(POOLS)
                for tier in range(TIERS)
            ],
        )
        for number in range(hosts)
    }
    subsets: dict[str, Subsets] = {}
    divide(demands, listed, subsets)
    started = time.perf_counter()
    divide(demands, listed, subsets)
    return time.perf_counter() - started


def _print_idle(cluster: Cluster, title: str) -> None:
    names = ['e1', *cluster.api]
    processes = [psutil.Process(cluster.children[name].pid) for name in names]
    before = [_cpu_s(process) for process in processes]
    time.sleep(WATCH_S)
    _write(f'idle with {title}', 'process', 'core %', 'MiB')
    for name, process, earlier in zip(names, processes, before, strict=True):
        share = (_cpu_s(process) - earlier) / WATCH_S
        resident = process.memory_info().rss / _MIB
        _write('', name, f'{share * 100:.2f}', f'{resident:.1f}')


def _print_syncs(cluster: Cluster, hosts: int) -> None:
    leader = psutil.Process(cluster.children[cluster.leader()].pid)
    load = SyncLoad(cluster, hosts)
    load.start()
    time.sleep(2)
    before = _cpu_s(leader)
    counted = (load.syncs, load.sent_bytes, load.received_bytes)
    time.sleep(WATCH_S)
    cpu = (_cpu_s(leader) - before) / WATCH_S
    syncs = load.syncs - counted[0]
    moved = load.sent_bytes + load.received_bytes - counted[1] - counted[2]
    worst_s = load.worst_s
    load.stop()
    _write(
        f'{hosts} more entry hosts',
        f'leader {cpu * 100:.1f} % of a core',
        f'{syncs / WATCH_S:.0f} syncs/s',
        f'{moved / max(1, syncs):.0f} bytes a sync',
        f'worst {worst_s * 1000:.0f} ms',
        f'{load.failures} failed',
        f'{leader.memory_info().rss / _MIB:.1f} MiB',
    )


def _declare_many(cluster: Cluster) -> None:
    customers = [
        ('customer', f'customer-{number}', {'weight': 1})
        for number in range(CUSTOMERS)
    ]
    keys = [
        (
            'key',
            f'key-{number}',
            {'customer': f'customer-{number}', 'sha256': f'{number:064x}'},
        )
        for number in range(CUSTOMERS)
    ]
    endpoints = [
        (
            'endpoint',
            f'spare-{number}',
            {
                'pool': 'spare',
                'url': f'http://127.2.{number // 250}.{number % 250}:9000',
                'zone': f'zone-{number % 21}',
                'slots': 8,
            },
        )
        for number in range(ENDPOINTS)
    ]
    cluster.apply(('pool', 'spare', {'kind': 'service', 'max_queue': 10}))
    for batch in (customers, keys, endpoints):
        for start_at in range(0, len(batch), 500):
            cluster.apply(*batch[start_at : start_at + 500])


def _revision(reply: dict[str, Any]) -> int:
    return ConfigUpdate.from_bytes(reply['update']).revision


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _write(title: str, *cells: str) -> None:
    columns: Iterable[str] = (f'{cell:>22}' for cell in cells)
    sys.stdout.write(f'{title:46}{"".join(columns)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
