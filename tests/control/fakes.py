"""Fakes of the interfaces that the control host uses."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from typing import Any

from apricotcart.codec.packing import pack, unpack
from apricotcart.consensus.api import Completion, Role
from apricotcart.consensus.members import Members
from apricotcart.errors.tree import (
    ApricotcartError,
    NotLeaderError,
    UnavailableError,
)
from apricotcart.state.machine import ClusterState
from apricotcart.transport.api import PeerLinks, WireMessage

WAIT_S = 60.0


def sync_message(host: str = 'h1', **fields: Any) -> WireMessage:
    """Build a sync of an entry host."""
    return {
        'kind': 'sync',
        'host': host,
        'incarnation': 1,
        'address': '127.0.0.1:1',
        'zone': 'a',
        'state': 'serving',
        'revision': 0,
        'hosts': None,
        'demand': {'tiers': [], 'running': {}},
        'suspects': [],
        **fields,
    }


class FakeLoop:
    """Leader that commits at once, or raises an error set by the test."""

    def __init__(self, state: ClusterState) -> None:
        """Initialize as a confirmed leader."""
        self.state = state
        self.lock = threading.RLock()
        self.error: ApricotcartError | None = None
        self.lost_reply: ApricotcartError | None = None
        self.proposed: list[WireMessage] = []
        self.barriers = 0
        self.changes: list[Any] = []
        self.at_ms = 1000
        self.lease = 1e12
        self.term_no = 1
        self.members = Members(voters=['a.0', 'b.0', 'c.0'])

    def propose(self, command: WireMessage, timeout_s: float) -> WireMessage:
        """Apply a command."""
        self._raise_error()
        self.proposed.append(command)
        blob = pack({**command, 'at_ms': self.at_ms})
        with self.lock:
            index = self.state.tables.applied_index + 1
            reply: WireMessage = unpack(self.state.apply(index, blob))
        if self.lost_reply:
            raise self.lost_reply
        return reply

    def barrier(self, timeout_s: float) -> None:
        """Count the barrier."""
        self._raise_error()
        self.barriers += 1

    def change_members(self, change: Any, timeout_s: float) -> Any:
        """Record the change."""
        self._raise_error()
        self.changes.append(change)
        return self.members.to_wire()

    def lease_until(self) -> float:
        """Return the end of the lease."""
        return self.lease

    def leader_name(self) -> str:
        """Return the name of this host, which leads."""
        return 'a'

    def term(self) -> int:
        """Return the term."""
        return self.term_no

    def status(self) -> WireMessage:
        """Return the members."""
        return {'role': 'leader', 'members': self.members.to_wire()}

    def _raise_error(self) -> None:
        if self.error:
            raise self.error


class FakeNode:
    """Consensus node whose completions the test provides."""

    def __init__(self) -> None:
        """Initialize as a leader."""
        self.role = Role.LEADER
        self.term = 1
        self.leader_id = 'a.0'
        self.commit_index = 0
        self.members = Members(voters=['a.0'])
        self.committed_members = self.members
        self.members_index = 0
        self.is_recovered = True
        self.lease: float = 0
        self.requests: list[Any] = []
        self.requested = threading.Event()
        self.completions: list[Completion] = []
        # Called once in each round, in place of the write to the disk.
        self.on_flush: Callable[[], None] = lambda: None

    def responsive_members(self) -> list[str]:
        """Return the members that answer."""
        return list(self.members.voters)

    def tick(self, now: float) -> None:
        """Do nothing."""

    def receive(self, now: float, message: Any) -> None:
        """Fail on a message that no node can handle."""
        raise TypeError(message)

    def propose(self, now: float, command: bytes) -> int:
        """Record a command."""
        return self._record(command)

    def read(self, now: float, *, is_settled: bool = False) -> int:
        """Record a read."""
        return self._record(None)

    def change_members(self, now: float, change: Any) -> int:
        """Record a change."""
        return self._record(change)

    def lease_expires_at(self) -> float:
        """Return the end of the lease."""
        return self.lease

    def drain_outbox(self) -> Sequence[Any]:
        """Run the callback of the test for this round."""
        self.on_flush()
        return ()

    def drain_completions(self) -> list[Completion]:
        """Return and clear the completions."""
        completions = self.completions
        self.completions = []
        return completions

    def _record(self, request: Any) -> int:
        self.requests.append(request)
        self.requested.set()
        return len(self.requests)


class FakeLinks(PeerLinks):
    """Records sent messages and receives the messages of the test."""

    def __init__(self, *messages: WireMessage) -> None:
        """Initialize with the messages to receive."""
        self.sent: list[tuple[str, WireMessage]] = []
        self.incoming = list(messages)
        self.is_empty = threading.Event()

    def send(self, address: str, message: WireMessage) -> None:
        """Record a message."""
        self.sent.append((address, message))

    def receive(self, timeout_s: float) -> WireMessage | None:
        """Return the next message, or None without one."""
        if self.incoming:
            return self.incoming.pop(0)
        self.is_empty.set()
        return None

    def close(self) -> None:
        """Do nothing."""


def not_leader_error() -> NotLeaderError:
    """Return the error of a proposal that was not queued."""
    return NotLeaderError('not the leader', leader='b.0')


def unknown_outcome_error() -> UnavailableError:
    """Return the error of a proposal with an unknown outcome."""
    return UnavailableError('no quorum answered within 5 s')
