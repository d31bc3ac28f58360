"""Control hosts with real disks and loopback links, but without HTTP."""

from __future__ import annotations

import random
import shutil
import socket
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from apricotcart.codec.envelope import Sealer
from apricotcart.consensus.config import NodeConfig
from apricotcart.consensus.identity import first_node_id
from apricotcart.consensus.members import Members
from apricotcart.consensus.node import Node
from apricotcart.control.joining import JOIN, Joiner
from apricotcart.control.loop import ConsensusLoop
from apricotcart.control.machine import ReplicatedMachine
from apricotcart.control.receiver import PeerReceiver
from apricotcart.errors.tree import ApricotcartError
from apricotcart.storage.identity import Identity, open_identity
from apricotcart.storage.log_store import DurableLogStore, initialize_directory
from apricotcart.storage.real_disk import RealDisk
from apricotcart.transport.api import WireMessage
from apricotcart.transport.peers import NngPeerLinks

# Time limit for a host that hangs; the test results do not depend on it.
WAIT_S = 90.0
TICK_S = 0.02
_CALL_TIMEOUT_S = 2.0


class PartitionableLinks(NngPeerLinks):
    """Links that the test can partition in both directions."""

    is_partitioned = False
    only_joins = False

    def send(self, address: str, message: WireMessage) -> None:
        """Send the message unless the links are partitioned."""
        is_dropped = self.only_joins and message['kind'] != JOIN
        if not self.is_partitioned and not is_dropped:
            super().send(address, message)

    def receive(self, timeout_s: float) -> WireMessage | None:
        """Return the next message; drop it if the links are partitioned."""
        message = super().receive(timeout_s)
        return None if self.is_partitioned else message


class RealHost:
    """One control host with its data directory."""

    def __init__(
        self,
        name: str,
        folder: Path,
        voters: dict[str, str],
        *,
        only_joins: bool = False,
    ) -> None:
        """Open the directory and start the threads.

        With ``only_joins`` it sends only join requests, so that it remains
        a learner.
        """
        self.name = name
        self.folder = folder
        self._disk = RealDisk(folder)
        rng = random.Random()
        self.node_id = open_identity(self._disk, name, rng).node_id
        self.machine = ReplicatedMachine()
        node = Node.from_config(
            NodeConfig(node_id=self.node_id, snapshot_every=20),
            DurableLogStore(self._disk),
            self.machine,
            rng,
        )
        self.links = PartitionableLinks(voters[name], Sealer(b'secret'))
        self.links.only_joins = only_joins
        self.failures: list[str] = []
        self.loop = ConsensusLoop(
            node, self.links, voters, TICK_S, lambda: self.failures.append(name)
        )
        self._joiner = Joiner(self.node_id, self.loop, self.links, voters)
        self._receiver = PeerReceiver(
            self.links, self.loop.deliver, self._joiner.on_join_request
        )
        self.loop.start()
        self._receiver.start()
        self._joiner.start()

    def stop(self) -> None:
        """Stop the threads and release the directory."""
        self._joiner.stop()
        self._receiver.stop()
        self.loop.stop()
        self.links.close()
        self._disk.close()

    def voters(self) -> list[str]:
        """Return the voters that this host knows."""
        return sorted(self.loop.status()['members']['voters'])


class RealHosts:
    """Three control hosts in this process."""

    def __init__(self, folder: Path) -> None:
        """Write the directories of the first voters and start them."""
        self._folder = folder
        ports = _free_ports(3)
        self.voters = {
            name: f'tcp://127.0.0.1:{port}'
            for name, port in zip('abc', ports, strict=True)
        }
        members = Members(voters=[first_node_id(name) for name in self.voters])
        for name in self.voters:
            disk = RealDisk(folder / name)
            initialize_directory(
                disk, Identity(name=name, incarnation='0'), members
            )
            disk.close()
        self.hosts = {name: self._start(name) for name in self.voters}

    def stop(self) -> None:
        """Stop all hosts."""
        for host in self.hosts.values():
            host.stop()

    def leader(self, *excluded: RealHost) -> RealHost:
        """Wait for a leader that a quorum confirms."""
        leaders: list[RealHost] = []

        def is_confirmed() -> bool:
            for host in self.hosts.values():
                if host not in excluded and _can_read(host):
                    leaders.append(host)
                    return True
            return False

        await_true(is_confirmed)
        return leaders[0]

    def lose_directory(
        self, name: str, *, only_joins: bool = False
    ) -> RealHost:
        """Stop a host, delete its data directory and start it again."""
        self.hosts[name].stop()
        shutil.rmtree(self._folder / name)
        self.hosts[name] = self._start(name, only_joins=only_joins)
        return self.hosts[name]

    def write(self, name: str, *excluded: RealHost) -> None:
        """Declare a customer; retry if the leader changes."""
        command = customer(name)

        def committed() -> bool:
            try:
                reply = self.leader(*excluded).loop.propose(
                    command, _CALL_TIMEOUT_S
                )
            except ApricotcartError:
                return False
            return bool(reply['ok'])

        await_true(committed)

    def _start(self, name: str, *, only_joins: bool = False) -> RealHost:
        return RealHost(
            name, self._folder / name, self.voters, only_joins=only_joins
        )


def customer(name: str) -> dict[str, Any]:
    """Return the command that declares a customer."""
    change = {
        'kind': 'customer',
        'name': name,
        'expected_version': None,
        'spec': {'weight': 1},
    }
    return {'kind': 'apply', 'op_id': name, 'changes': [change]}


def await_true(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    ends_at = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < ends_at
        time.sleep(TICK_S)


def _can_read(host: RealHost) -> bool:
    try:
        host.loop.barrier(_CALL_TIMEOUT_S)
    except ApricotcartError:
        return False
    return True


def _free_ports(count: int) -> list[int]:
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(('127.0.0.1', 0))
        return [probe.getsockname()[1] for probe in probes]
