"""Prints the figures of docs/notes/consensus.md.

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
    """Counts the commands."""

    def __init__(self) -> None:
        """Start at zero."""
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Count."""
        self.count += 1
        return b''

    def snapshot(self) -> bytes:
        """Give the count."""
        return pack(self.count)

    def restore(self, blob: bytes) -> None:
        """Not needed here."""


def start_lone_node(path: Path) -> tuple[RealDisk, Node]:
    """Start a cluster of one node on a real disk."""
    disk = RealDisk(path)
    cfg = NodeConfig(node_id='a.1', snapshot_every=NO_SNAPSHOT)
    store = DurableLogStore(disk)
    if not disk.names():
        bootstrap(store, Members(voters=['a.1']))
    node = Node.from_config(cfg, store, CountingMachine(), random.Random(1))
    return disk, node


def elect_lone_node(node: Node) -> None:
    """Let the scripted clock run until the node leads."""
    now = 0.0
    while node.role is not Role.LEADER:
        node.tick(now)
        now += 0.02
    node.take_outbox()


def measure_restart(entries: int) -> None:
    """Time the start of a node on a real disk until all is applied."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'data'
        disk, node = start_lone_node(path)
        elect_lone_node(node)
        syncs: list[float] = []
        for _ in range(entries // 10):
            for _ in range(10):
                node.propose(9, COMMAND)
            began = time.perf_counter()
            node.take_outbox()
            syncs.append(time.perf_counter() - began)
        disk.close()
        # The first start reads many small batches; it writes them anew as
        # one, which the later starts read.
        times: list[float] = []
        for _ in range(REPEATS):
            began = time.perf_counter()
            disk, node = start_lone_node(path)
            elect_lone_node(node)
            times.append(time.perf_counter() - began)
            assert node.commit_index > entries
            disk.close()
    print(
        f'restart after {entries} entries: first {times[0] * 1000:.1f} ms, '
        f'median {statistics.median(times) * 1000:.1f} ms, max '
        f'{max(times) * 1000:.1f} ms of {REPEATS}; '
        f'commit of a batch of 10 on this disk: median '
        f'{statistics.median(syncs) * 1000:.2f} ms'
    )


def measure_catch_up(entries: int, snapshot_every: int) -> None:
    """Time from an empty disk until the new identity votes alone."""
    cluster = Cluster(1, snapshot_every=snapshot_every)
    cluster.delay_s = (0.0045, 0.0045)
    leader = cluster.await_leader()
    for number in range(entries):
        cluster.write(leader, b'%0200d' % number)
        if number % 20 == 0:
            cluster.run(0.02)
    cluster.run(1)
    lost = next(h for h in cluster.hosts.values() if h is not leader)
    cluster.lose_disk(lost)
    before = cluster.message_bytes
    began = time.process_time()
    cluster.join(lost)
    seconds = cluster.run_until(cluster.is_repaired, 60)
    cpu_s = time.process_time() - began
    sent = cluster.message_bytes - before
    assert len(lost.machine.writes) == entries
    print(
        f'catch-up after {entries} entries, snapshot every {snapshot_every}: '
        f'{seconds:.2f} s scripted time, {sent} bytes, '
        f'{cpu_s:.2f} s processor time of the whole simulation'
    )


def measure_commit(batch: int) -> None:
    """Processor time and wire bytes for each entry, without a disk."""
    ids = ['a.1', 'b.1', 'c.1']
    nodes: dict[str, Node] = {}
    for node_id in ids:
        store = MemoryStore()
        bootstrap(store, Members(voters=ids))
        cfg = NodeConfig(node_id=node_id)
        nodes[node_id] = Node.from_config(
            cfg, store, CountingMachine(), random.Random(node_id)
        )
    spent = dict.fromkeys(ids, 0.0)
    sent = 0

    def exchange() -> None:
        nonlocal sent
        busy = True
        while busy:
            busy = False
            for node_id, node in nodes.items():
                began = time.process_time()
                blobs = [
                    (message.to_id, pack(message.to_wire()))
                    for message in node.take_outbox()
                ]
                node.take_completions()
                spent[node_id] += time.process_time() - began
                for to_id, blob in blobs:
                    busy = True
                    sent += len(blob)
                    deliver(to_id, blob)

    def deliver(to_id: str, blob: bytes) -> None:
        from apricotcart.codec.packing import unpack

        began = time.process_time()
        nodes[to_id].receive(now, message_from_wire(unpack(blob)))
        spent[to_id] += time.process_time() - began

    now = 0.0
    leader = None
    while leader is None:
        now += 0.02
        for node in nodes.values():
            node.tick(now)
            exchange()
            if node.role is Role.LEADER:
                leader = node
    spent = dict.fromkeys(ids, 0.0)
    sent = 0
    count = 20000 // batch
    for _ in range(count):
        began = time.process_time()
        for _ in range(batch):
            leader.propose(now, COMMAND)
        spent[leader.leader_id] += time.process_time() - began
        exchange()
    entries = count * batch
    assert leader.commit_index > entries
    leader_us = spent[leader.leader_id] / entries * 1e6
    all_us = sum(spent.values()) / entries * 1e6
    print(
        f'batches of {batch}: {leader_us:.1f} us on the leader, '
        f'{all_us:.1f} us on all three, {sent / entries:.0f} wire bytes '
        f'for each committed entry of {len(COMMAND)} bytes'
    )


def measure_idle() -> None:
    """Bytes of consensus messages of an idle cluster of three."""
    cluster = Cluster(1)
    cluster.await_leader()
    cluster.run(5)
    before = cluster.message_bytes
    cluster.run(60)
    rate = (cluster.message_bytes - before) / 60
    print(f'idle: {rate:.0f} bytes/s on all links together')


def measure_takeover() -> None:
    """Time from the leader's death to the next accepted write."""
    times: list[float] = []
    for seed in range(1000):
        cluster = Cluster(seed)
        cluster.delay_s = (0.0045, 0.0045)
        leader = cluster.await_leader()
        cluster.run(1)
        cluster.kill(leader)
        times.append(cluster.write_until_accepted(10))
    times.sort()
    print(
        f'takeover, {len(times)} seeds, scripted time: median '
        f'{statistics.median(times):.2f} s, 95th percentile '
        f'{times[len(times) * 95 // 100]:.2f} s, max {times[-1]:.2f} s'
    )


def main() -> int:
    """Print all figures."""
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
