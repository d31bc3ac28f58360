"""Measures the costs that grow with hosts, endpoints and customers."""

from __future__ import annotations

import argparse
import sys
import tempfile
import threading
import time
from collections.abc import Iterable
from contextlib import ExitStack
from itertools import count
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
from apricotcart.scheduling.shares import divide_slots
from apricotcart.transport.requests import NngRequestClient
from support.cluster import Cluster
from support.demo import start

HOST_COUNTS = (0, 80, 320)
CUSTOMERS = 2300
ENDPOINTS = 3400
POOLS = 15
TIERS = 6
SAMPLE_S = 6.0
SYNC_INTERVAL_S = 0.5
_MIB = 1 << 20
_SENDERS = 32
# The weights of new hosts ramp for 30 s, and the host list changes with them.
_SETTLE_S = 32.0


class SyncLoad:
    """Sends the syncs of many entry hosts from a few threads."""

    def __init__(
        self,
        cluster: Cluster,
        hosts: int,
        interval_s: float,
    ) -> None:
        """Distribute the hosts over the threads."""
        self.sent_bytes = 0
        self.received_bytes = 0
        self.syncs = 0
        self.failures = 0
        self.worst_s: float = 0
        self._cluster = cluster
        self._interval_s = interval_s
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
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads and wait for them."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, numbers: list[int]) -> None:
        link = open_control_link(self._cluster)
        # After a first sync, all hosts start from its revision: the cost of
        # a first snapshot is not part of the cost that grows with the hosts.
        known: dict[str, Any] = {}
        self._sync(link, numbers[0], known)
        last_syncs = {number: dict(known) for number in numbers}
        while not self._stop.is_set():
            due = time.monotonic() + self._interval_s
            for number in numbers:
                self._sync(link, number, last_syncs[number])
            self._stop.wait(max(0, due - time.monotonic()))
        link.close()

    def _sync(
        self,
        link: ControlLink,
        number: int,
        last_sync: dict[str, Any],
    ) -> None:
        message = sync_message(number, last_sync)
        started = time.perf_counter()
        try:
            reply = link.call(message, 5)
        except UnavailableError:
            self.failures += 1
            return
        elapsed = time.perf_counter() - started
        last_sync['revision'] = _revision_in(reply)
        last_sync['hosts'] = reply['hosts']['digest']
        with self._lock:
            self.syncs += 1
            self.worst_s = max(self.worst_s, elapsed)
            self.sent_bytes += len(pack(message))
            self.received_bytes += len(pack(reply))


class CommitLoad:
    """Sends usage batches of ten figures from several threads."""

    def __init__(self, cluster: Cluster, senders: int) -> None:
        self.commits = 0
        self.worst_s: float = 0
        self._cluster = cluster
        self._senders = senders
        self._lock = threading.Lock()

    def run(self, seconds: float) -> None:
        """Send for the given time."""
        ends_at = time.monotonic() + seconds
        threads = [
            threading.Thread(target=self._send, args=(number, ends_at))
            for number in range(self._senders)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send(self, number: int, ends_at: float) -> None:
        link = open_control_link(self._cluster)
        incarnation = time.time_ns()
        window = int(time.time() // 60)
        for seq in count(1):
            started = time.monotonic()
            if started > ends_at:
                break
            figures = [
                {
                    'customer': f'customer-{customer}',
                    'window': window,
                    'tokens_in': 100,
                    'tokens_out': 100,
                    'calls': 1,
                }
                for customer in range(10)
            ]
            command = {
                'kind': 'usage_add',
                'host': f'load-{number}',
                'incarnation': incarnation,
                'seq': seq,
                'figures': figures,
            }
            link.command(command, 5)
            with self._lock:
                self.commits += 1
                elapsed = time.monotonic() - started
                self.worst_s = max(self.worst_s, elapsed)
        link.close()


def open_control_link(cluster: Cluster) -> ControlLink:
    """Connect to the control hosts as an entry host does."""
    secret = (cluster.folder / 'cluster.secret').read_bytes()
    sealer = Sealer(secret.strip())
    return ControlLink(
        {
            address: NngRequestClient(address, sealer)
            for address in cluster.rpc_addresses().values()
        },
    )


def sync_message(number: int, last_sync: dict[str, Any]) -> dict[str, Any]:
    """Build the sync message of a host with demand in every tier."""
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
        'revision': last_sync.get('revision'),
        'hosts': last_sync.get('hosts'),
        'demand': Demand(tiers=tiers, running={'engine-1': 8}).to_wire(),
        'suspects': [],
    }


def main() -> int:
    """Print the figures as tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--sync-interval-s',
        type=float,
        default=SYNC_INTERVAL_S,
        help='time between two syncs of one host',
    )
    interval_s = parser.parse_args().sync_interval_s
    _print_division()
    with ExitStack() as stack:
        name = stack.enter_context(tempfile.TemporaryDirectory())
        cluster, _ = start(Path(name), entries=1)
        stack.callback(cluster.stop)
        _print_idle(cluster, 'few resources')
        _print_commits(cluster)
        _declare_many(cluster)
        time.sleep(SAMPLE_S)
        _print_idle(cluster, f'{CUSTOMERS} customers and {ENDPOINTS} endpoints')
        for hosts in HOST_COUNTS:
            _print_syncs(cluster, hosts, interval_s)
    return 0


def _print_division() -> None:
    _print_row(
        'division of slots on the leader, ms', 'hosts', 'endpoints', 'ms'
    )
    for hosts, endpoints in ((7, 10), (34, 340), (340, 340), (340, ENDPOINTS)):
        elapsed = _division_s(hosts, endpoints)
        _print_row('', str(hosts), str(endpoints), f'{elapsed * 1000:.2f}')


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
    divide_slots(demands, listed, subsets)
    started = time.perf_counter()
    divide_slots(demands, listed, subsets)
    return time.perf_counter() - started


def _print_idle(cluster: Cluster, title: str) -> None:
    names = ['e1', *cluster.control_addresses]
    processes = [psutil.Process(cluster.children[name].pid) for name in names]
    before = [_cpu_s(process) for process in processes]
    time.sleep(SAMPLE_S)
    _print_row(f'idle with {title}', 'process', 'core %', 'MiB')
    for name, process, earlier in zip(names, processes, before, strict=True):
        share = (_cpu_s(process) - earlier) / SAMPLE_S
        resident = process.memory_info().rss / _MIB
        _print_row('', name, f'{share * 100:.2f}', f'{resident:.1f}')


def _print_syncs(cluster: Cluster, hosts: int, interval_s: float) -> None:
    leader = psutil.Process(cluster.children[cluster.leader()].pid)
    load = SyncLoad(cluster, hosts, interval_s)
    load.start()
    time.sleep(_SETTLE_S if hosts else 0)
    before = _cpu_s(leader)
    earlier_totals = (load.syncs, load.sent_bytes, load.received_bytes)
    time.sleep(SAMPLE_S)
    cpu = (_cpu_s(leader) - before) / SAMPLE_S
    syncs = load.syncs - earlier_totals[0]
    transferred_bytes = (
        load.sent_bytes
        + load.received_bytes
        - earlier_totals[1]
        - earlier_totals[2]
    )
    worst_s = load.worst_s
    load.stop()
    _print_row(
        f'{hosts} more entry hosts',
        f'leader {cpu * 100:.1f} % of a core',
        f'{syncs / SAMPLE_S:.0f} syncs/s',
        f'{transferred_bytes / max(1, syncs):.0f} bytes a sync',
        f'worst {worst_s * 1000:.0f} ms',
        f'{load.failures} failed',
        f'{leader.memory_info().rss / _MIB:.1f} MiB',
    )


def _print_commits(cluster: Cluster) -> None:
    """Commit usage batches as fast as a number of senders can."""
    leader = psutil.Process(cluster.children[cluster.leader()].pid)
    for senders in (1, 8, 32):
        load = CommitLoad(cluster, senders)
        before = _cpu_s(leader)
        load.run(SAMPLE_S)
        cpu = _cpu_s(leader) - before
        _print_row(
            f'usage batches from {senders} senders',
            f'{load.commits / SAMPLE_S:.0f} commits/s',
            f'leader {cpu / max(1, load.commits) * 1000:.2f} ms a commit',
            f'worst {load.worst_s * 1000:.0f} ms',
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


def _revision_in(reply: dict[str, Any]) -> int:
    return ConfigUpdate.from_bytes(reply['update']).revision


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _print_row(title: str, *cells: str) -> None:
    columns: Iterable[str] = (f'{cell:>22}' for cell in cells)
    sys.stdout.write(f'{title:46}{"".join(columns)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
