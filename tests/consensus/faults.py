"""Random schedules of faults and clients for one seed."""

from __future__ import annotations

import random
from collections.abc import Callable

from consensus.cluster import Cluster, Host

FAULTS_S = 20
SETTLE_S = 15


class Storm:
    """Clients that never stop, and faults that overlap.

    Only one host at a time waits for the repair of its disk, because two
    lost disks of three may lose what was committed.
    """

    def __init__(self, seed: int, size: int = 3) -> None:
        self.cluster = Cluster(
            seed, size, snapshot_every=60, snapshot_trailing=10, chunk_bytes=300
        )
        self.rng = random.Random(seed)
        self.writes = 0
        self.lost: Host | None = None
        self.faults: list[str] = []
        self.is_over = False
        self._target = ''

    def run(self) -> None:
        """Run the faults, let the cluster settle and check it."""
        cluster = self.cluster
        for delay in (0.1, 0.2, 0.3):
            cluster.at(delay, self._client)
        cluster.at(1, self._fault)
        cluster.at(0.5, self._repair)
        cluster.run(FAULTS_S)
        self.is_over = True
        cluster.loss = 0
        for host in cluster.hosts.values():
            host.disk.clear_faults()
        cluster.run_until(self._is_settled, SETTLE_S)
        assert self._is_settled(), 'the cluster does not recover'
        cluster.write_until_accepted(SETTLE_S)
        cluster.run_until(self._is_level, SETTLE_S)
        cluster.check_end()

    def _is_settled(self) -> bool:
        hosts = self.cluster.hosts.values()
        if any(host.node is None or host.is_frozen for host in hosts):
            return False
        return not self.cluster.cut and self.cluster.is_repaired()

    def _is_level(self) -> bool:
        agreed = len(self.cluster.history.agreed)
        hosts = self.cluster.hosts.values()
        return all(len(host.machine.writes) == agreed for host in hosts)

    def _chance(self, percent: int) -> bool:
        return self.rng.randrange(100) < percent

    def _client(self) -> None:
        cluster = self.cluster
        name = self._target
        if not name or self._chance(25):
            name = self.rng.choice(list(cluster.hosts))
        host = cluster.hosts[name]
        if host.node is not None and host.node.leader_id:
            self._target = host.node.leader_id.rpartition('.')[0]
        for _ in range(self.rng.randint(1, 3)):
            self.writes += 1
            cluster.write(host, b'%d' % self.writes)
        if self._chance(50):
            cluster.read(host)
        if not self.is_over:
            cluster.at(self.rng.uniform(0.01, 0.12), self._client)

    def _fault(self) -> None:
        if self.is_over:
            return
        # Two faults at once in one case of three.
        for _ in range(self.rng.choice([1, 1, 2])):
            fault = self.rng.choice(_FAULTS)
            host = self.rng.choice(list(self.cluster.hosts.values()))
            leader = self.cluster.leader()
            if leader is not None and self._chance(50):
                host = leader
            if host.node is not None and not host.is_frozen:
                now = round(self.cluster.now, 2)
                self.faults.append(f'{now} {fault.__name__} {host.name}')
                fault(self, host)
        self.cluster.at(self.rng.uniform(0.2, 3), self._fault)

    def _repair(self) -> None:
        self.cluster.at(0.1, self._repair)
        if self.lost is None:
            return
        self.cluster.join(self.lost)
        if not self.cluster.is_repaired():
            return
        previous = self.lost
        self.lost = None
        # A second loss right after the repair of the first one.
        if not self.is_over and self._chance(50):
            others = [
                host
                for host in self.cluster.hosts.values()
                if host is not previous
            ]
            lose_disk(self, self.rng.choice(others))


def lose_power(storm: Storm, host: Host) -> None:
    """Kill the process; writes that were not synced are lost or torn."""
    storm.cluster.kill(host)
    pause = storm.rng.uniform(0.1, 4)
    storm.cluster.at(pause, lambda: storm.cluster.start(host))


def lose_power_in_call(storm: Storm, host: Host) -> None:
    """Lose the power between two calls of one write."""
    host.disk.calls_left = storm.rng.randint(0, 8)


def end_process(storm: Storm, host: Host) -> None:
    """Kill the process; the page cache stays."""
    storm.cluster.kill(host, power_loss=False)
    pause = storm.rng.uniform(0.1, 2)
    storm.cluster.at(pause, lambda: storm.cluster.start(host))


def freeze(storm: Storm, host: Host) -> None:
    """Stop the process for a while."""
    storm.cluster.freeze(host, storm.rng.uniform(0.1, 4))


def isolate(storm: Storm, host: Host) -> None:
    """Cut one or both directions for a while."""
    seconds = storm.rng.uniform(0.2, 5)
    storm.cluster.isolate(host, seconds, storm.rng.choice([1, 2, 3, 3]))


def lose_messages(storm: Storm, _host: Host) -> None:
    """Lose and delay messages for a while."""
    cluster = storm.cluster
    cluster.loss = storm.rng.uniform(0, 0.3)
    cluster.delay_s = (0.001, storm.rng.uniform(0.01, 0.1))

    def calm() -> None:
        cluster.loss = 0
        cluster.delay_s = (0.004, 0.006)

    cluster.at(storm.rng.uniform(0.5, 4), calm)


def fail_sync(storm: Storm, host: Host) -> None:
    """Let the next sync fail."""
    host.disk.fail_syncs = True


def fill_disk(storm: Storm, host: Host) -> None:
    """Leave room for less than one write."""
    host.disk.capacity = host.disk.size() + storm.rng.randint(0, 60)


def lose_disk(storm: Storm, host: Host) -> None:
    """Lose the disk, unless another host still waits for its repair."""
    if storm.lost is None and storm.cluster.is_repaired():
        storm.lost = host
        storm.cluster.lose_disk(host)


_FAULTS: tuple[Callable[[Storm, Host], None], ...] = (
    lose_power,
    lose_power,
    lose_power_in_call,
    end_process,
    freeze,
    isolate,
    lose_messages,
    fail_sync,
    fill_disk,
    lose_disk,
    lose_disk,
)
