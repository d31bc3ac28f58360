"""Prints the measurements for docs/notes/consensus.md.

Usage: PYTHONPATH=src:tests:tools python scripts/measure_consensus.py
"""

from __future__ import annotations

import random
import statistics
import sys
import tempfile
import time
from pathlib import Path

from consensus.cluster import Cluster

from apricotcart.codec.packing import pack
from apricotcart.consensus.api import Role, StateMachine
from apricotcart.consensus.config import NodeConfig
from apricotcart.consensus.members import Members
from apricotcart.consensus.memory_store import MemoryStore
from apricotcart.consensus.messages import message_from_wire
from apricotcart.consensus.node import Node, bootstrap
from apricotcart.storage.log_store import DurableLogStore
from apricotcart.storage.real_disk import RealDisk

COMMAND = bytes(200)
REPEATS = 5
NO_SNAPSHOT = 1_000_000_000


class CountingMachine(StateMachine):
    """State machine that counts commands."""

    def __init__(self) -> None:
        """Initialize the count to 0."""
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Count a command."""
        self.count += 1
        return b''

    def snapshot(self) -> bytes:
        """Return the packed count."""
        return pack(self.count)

    def restore(self, blob: bytes) -> None:
        """Do nothing; no measurement restores a snapshot."""


def start_lone_node(path: Path) -> tuple[RealDisk, Node]:
    """Start a single-node cluster on a real disk, bootstrapped if new."""
    disk = RealDisk(path)
    cfg = NodeConfig(node_id='a.1', snapshot_every=NO_SNAPSHOT)
    store = DurableLogStore(disk)
    if not disk.file_names():
        bootstrap(store, Members(voters=['a.1']))
    node = Node.from_config(cfg, store, CountingMachine(), random.Random(1))
    return disk, node


def elect_lone_node(node: Node) -> None:
    """Advance the scripted clock until the node is the leader."""
    now = 0.0
    while node.role is not Role.LEADER:
        node.tick(now)
        now += 0.02
    node.drain_outbox()


def measure_restart(entries: int) -> None:
    """Measure the time until a node on a real disk has applied its log."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'data'
        disk, node = start_lone_node(path)
        elect_lone_node(node)
        commit_times_s: list[float] = []
        for _ in range(entries // 10):
            for _ in range(10):
                node.propose(9, COMMAND)
            started_at = time.perf_counter()
            node.drain_outbox()
            commit_times_s.append(time.perf_counter() - started_at)
        disk.close()
        # The first start reads many small batches and rewrites them as one,
        # which the later starts read.
        times_s: list[float] = []
        for _ in range(REPEATS):
            started_at = time.perf_counter()
            disk, node = start_lone_node(path)
            elect_lone_node(node)
            times_s.append(time.perf_counter() - started_at)
            assert node.commit_index > entries
            disk.close()
    print(
        f'restart after {entries} entries: first {times_s[0] * 1000:.1f} ms, '
        f'median {statistics.median(times_s) * 1000:.1f} ms, max '
        f'{max(times_s) * 1000:.1f} ms of {REPEATS}; '
        f'commit of a batch of 10 on this disk: median '
        f'{statistics.median(commit_times_s) * 1000:.2f} ms'
    )


def measure_catch_up(entries: int, snapshot_every: int) -> None:
    """Measure the time to replace a host that lost its disk.

    The time ends when the new incarnation votes and the old one does not.
    """
    cluster = Cluster(1, snapshot_every=snapshot_every)
    cluster.delay_s = (0.0045, 0.0045)
    leader = cluster.await_leader()
    for number in range(entries):
        cluster.write(leader, b'%0200d' % number)
        if number % 20 == 0:
            cluster.run(0.02)
    cluster.run(1)
    rejoining_host = next(
        host for host in cluster.hosts.values() if host is not leader
    )
    cluster.lose_disk(rejoining_host)
    bytes_before = cluster.message_bytes
    started_at = time.process_time()
    cluster.join(rejoining_host)
    elapsed_s = cluster.run_until(cluster.is_repaired, 60)
    cpu_s = time.process_time() - started_at
    sent_bytes = cluster.message_bytes - bytes_before
    assert len(rejoining_host.machine.writes) == entries
    print(
        f'catch-up after {entries} entries, snapshot every {snapshot_every}: '
        f'{elapsed_s:.2f} s scripted time, {sent_bytes} bytes, '
        f'{cpu_s:.2f} s CPU time of the whole simulation'
    )


def measure_commit(batch: int) -> None:
    """Measure CPU time and wire bytes per entry, without a disk."""
    ids = ['a.1', 'b.1', 'c.1']
    nodes: dict[str, Node] = {}
    for node_id in ids:
        store = MemoryStore()
        bootstrap(store, Members(voters=ids))
        cfg = NodeConfig(node_id=node_id)
        nodes[node_id] = Node.from_config(
            cfg, store, CountingMachine(), random.Random(node_id)
        )
    node_cpu_s = dict.fromkeys(ids, 0.0)
    sent_bytes = 0

    def exchange() -> None:
        nonlocal sent_bytes
        has_messages = True
        while has_messages:
            has_messages = False
            for node_id, node in nodes.items():
                started_at = time.process_time()
                blobs = [
                    (message.to_id, pack(message.to_wire()))
                    for message in node.drain_outbox()
                ]
                node.drain_completions()
                node_cpu_s[node_id] += time.process_time() - started_at
                for to_id, blob in blobs:
                    has_messages = True
                    sent_bytes += len(blob)
                    deliver(to_id, blob)

    def deliver(to_id: str, blob: bytes) -> None:
        from apricotcart.codec.packing import unpack

        started_at = time.process_time()
        nodes[to_id].receive(now, message_from_wire(unpack(blob)))
        node_cpu_s[to_id] += time.process_time() - started_at

    now = 0.0
    leader = None
    while leader is None:
        now += 0.02
        for node in nodes.values():
            node.tick(now)
            exchange()
            if node.role is Role.LEADER:
                leader = node
    node_cpu_s = dict.fromkeys(ids, 0.0)
    sent_bytes = 0
    batches = 20000 // batch
    for _ in range(batches):
        started_at = time.process_time()
        for _ in range(batch):
            leader.propose(now, COMMAND)
        node_cpu_s[leader.leader_id] += time.process_time() - started_at
        exchange()
    entries = batches * batch
    assert leader.commit_index > entries
    leader_us = node_cpu_s[leader.leader_id] / entries * 1e6
    all_us = sum(node_cpu_s.values()) / entries * 1e6
    print(
        f'batches of {batch}: {leader_us:.1f} us on the leader, '
        f'{all_us:.1f} us on all three, {sent_bytes / entries:.0f} wire bytes '
        f'per committed entry of {len(COMMAND)} bytes'
    )


def measure_idle() -> None:
    """Measure the message bytes per second of an idle cluster of three."""
    cluster = Cluster(1)
    cluster.await_leader()
    cluster.run(5)
    bytes_before = cluster.message_bytes
    cluster.run(60)
    rate = (cluster.message_bytes - bytes_before) / 60
    print(f'idle: {rate:.0f} bytes/s on all links together')


def measure_takeover() -> None:
    """Measure the time from a leader crash to the next accepted write."""
    times_s: list[float] = []
    for seed in range(1000):
        cluster = Cluster(seed)
        cluster.delay_s = (0.0045, 0.0045)
        leader = cluster.await_leader()
        cluster.run(1)
        cluster.kill(leader)
        times_s.append(cluster.write_until_accepted(10))
    times_s.sort()
    print(
        f'takeover, {len(times_s)} seeds, scripted time: median '
        f'{statistics.median(times_s):.2f} s, 95th percentile '
        f'{times_s[len(times_s) * 95 // 100]:.2f} s, max {times_s[-1]:.2f} s'
    )


def main() -> int:
    """Print all measurements."""
    measure_idle()
    measure_takeover()
    for batch in (1, 10, 100):
        measure_commit(batch)
    for entries in (500, 5000):
        measure_restart(entries)
        measure_catch_up(entries, NO_SNAPSHOT)
    measure_catch_up(5000, 1000)
    return 0


if __name__ == '__main__':
    sys.exit(main())
