"""Random schedule of faults and client requests for a seed."""

from __future__ import annotations

import random
from collections.abc import Callable

from consensus.cluster import Cluster, Host

FAULTS_S = 20
SETTLE_S = 15


class FaultSchedule:
    """Runs clients continuously while faults overlap.

    Only one host at a time may have a lost disk, since the loss of two disks
    of three can lose committed writes. That host may lose it again.
    """

    def __init__(self, seed: int, size: int = 3) -> None:
        self.cluster = Cluster(
            seed, size, snapshot_every=60, snapshot_trailing=10, chunk_bytes=300
        )
        self.rng = random.Random(seed)
        self.writes = 0
        self.host_without_disk: Host | None = None
        self.fault_log: list[str] = []
        self.is_over = False
        self._target = ''

    def run(self) -> None:
        """Run the faults, wait until the cluster recovers and check it."""
        cluster = self.cluster
        for delay in (0.1, 0.2, 0.3):
            cluster.call_later(delay, self._run_client)
        cluster.call_later(1, self._inject_faults)
        cluster.call_later(0.5, self._repair_lost_disk)
        cluster.run(FAULTS_S)
        self.is_over = True
        cluster.loss_probability = 0
        for host in cluster.hosts.values():
            host.disk.clear_faults()
        cluster.run_until(self._is_settled, SETTLE_S)
        assert self._is_settled(), 'the cluster does not recover'
        cluster.write_until_accepted(SETTLE_S)
        cluster.run_until(self._is_replicated, SETTLE_S)
        cluster.check_end()

    def _is_settled(self) -> bool:
        hosts = self.cluster.hosts.values()
        if any(host.node is None or host.is_frozen for host in hosts):
            return False
        return not self.cluster.cut_links and self.cluster.is_repaired()

    def _is_replicated(self) -> bool:
        write_count = len(self.cluster.history.applied_writes)
        hosts = self.cluster.hosts.values()
        return all(len(host.machine.writes) == write_count for host in hosts)

    def _is_chosen(self, percent: int) -> bool:
        return self.rng.randrange(100) < percent

    def _run_client(self) -> None:
        cluster = self.cluster
        name = self._target
        if not name or self._is_chosen(25):
            name = self.rng.choice(list(cluster.hosts))
        host = cluster.hosts[name]
        if host.node is not None and host.node.leader_id:
            self._target = host.node.leader_id.rpartition('.')[0]
        for _ in range(self.rng.randint(1, 3)):
            self.writes += 1
            cluster.write(host, b'%d' % self.writes)
        if self._is_chosen(50):
            cluster.read(host)
        if not self.is_over:
            cluster.call_later(self.rng.uniform(0.01, 0.12), self._run_client)

    def _inject_faults(self) -> None:
        if self.is_over:
            return
        # Inject two faults at once in one case out of three.
        for _ in range(self.rng.choice([1, 1, 2])):
            fault = self.rng.choice(_FAULTS)
            host = self.rng.choice(list(self.cluster.hosts.values()))
            leader = self.cluster.leader()
            if leader is not None and self._is_chosen(50):
                host = leader
            if host.node is not None and not host.is_frozen:
                now = round(self.cluster.now, 2)
                self.fault_log.append(f'{now} {fault.__name__} {host.name}')
                fault(self, host)
        self.cluster.call_later(self.rng.uniform(0.2, 3), self._inject_faults)

    def _repair_lost_disk(self) -> None:
        self.cluster.call_later(0.1, self._repair_lost_disk)
        if self.host_without_disk is None:
            return
        self.cluster.join(self.host_without_disk)
        if not self.cluster.is_repaired():
            return
        previous = self.host_without_disk
        self.host_without_disk = None
        # Lose a second disk right after the first one is repaired.
        if not self.is_over and self._is_chosen(50):
            others = [
                host
                for host in self.cluster.hosts.values()
                if host is not previous
            ]
            lose_disk(self, self.rng.choice(others))


def lose_power(schedule: FaultSchedule, host: Host) -> None:
    """Cut the power; unsynced writes are lost or torn."""
    schedule.cluster.kill(host)
    pause = schedule.rng.uniform(0.1, 4)
    schedule.cluster.call_later(pause, lambda: schedule.cluster.start(host))


def lose_power_in_call(schedule: FaultSchedule, host: Host) -> None:
    """Cut the power between two disk operations."""
    host.disk.calls_until_power_loss = schedule.rng.randint(0, 8)


def kill_process(schedule: FaultSchedule, host: Host) -> None:
    """Kill the process; unsynced writes are kept."""
    schedule.cluster.kill(host, power_loss=False)
    pause = schedule.rng.uniform(0.1, 2)
    schedule.cluster.call_later(pause, lambda: schedule.cluster.start(host))


def freeze(schedule: FaultSchedule, host: Host) -> None:
    """Suspend the process for 0.1 to 4 s."""
    schedule.cluster.freeze(host, schedule.rng.uniform(0.1, 4))


def isolate(schedule: FaultSchedule, host: Host) -> None:
    """Drop messages in one or both directions for 0.2 to 5 s."""
    seconds = schedule.rng.uniform(0.2, 5)
    schedule.cluster.isolate(host, seconds, schedule.rng.choice([1, 2, 3, 3]))


def lose_messages(schedule: FaultSchedule, _host: Host) -> None:
    """Drop and delay messages for 0.5 to 4 s."""
    cluster = schedule.cluster
    cluster.loss_probability = schedule.rng.uniform(0, 0.3)
    cluster.delay_s = (0.001, schedule.rng.uniform(0.01, 0.1))

    def end_message_loss() -> None:
        cluster.loss_probability = 0
        cluster.delay_s = (0.004, 0.006)

    cluster.call_later(schedule.rng.uniform(0.5, 4), end_message_loss)


def fail_sync(schedule: FaultSchedule, host: Host) -> None:
    """Make disk syncs fail until the faults of the disk are cleared."""
    host.disk.fail_syncs = True


def fill_disk(schedule: FaultSchedule, host: Host) -> None:
    """Limit the free space of the disk to at most 60 bytes for 0.3 to 6 s."""
    disk = host.disk
    disk.capacity = disk.size() + schedule.rng.randint(0, 60)

    def make_room() -> None:
        disk.capacity = None

    schedule.cluster.call_later(schedule.rng.uniform(0.3, 6), make_room)


def lose_disk(schedule: FaultSchedule, host: Host) -> None:
    """Lose the disk, unless another host is not repaired yet."""
    lost = schedule.host_without_disk
    is_repaired = lost is None and schedule.cluster.is_repaired()
    if is_repaired or lost is host:
        schedule.host_without_disk = host
        schedule.cluster.lose_disk(host)


_FAULTS: tuple[Callable[[FaultSchedule, Host], None], ...] = (
    lose_power,
    lose_power,
    lose_power_in_call,
    kill_process,
    freeze,
    isolate,
    lose_messages,
    fail_sync,
    fill_disk,
    lose_disk,
    lose_disk,
)
