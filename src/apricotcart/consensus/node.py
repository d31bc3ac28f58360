"""A Raft node without sockets, threads or clocks."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import ClassVar

from apricotcart.consensus.api import (
    Completion,
    LogStore,
    Role,
    Snapshot,
    StateMachine,
)
from apricotcart.consensus.config import NodeConfig
from apricotcart.consensus.core import Core
from apricotcart.consensus.failures import LogConflictError
from apricotcart.consensus.members import MemberChange, Members
from apricotcart.consensus.messages import Message
from apricotcart.consensus.replica import Replica, not_leader_error
from apricotcart.consensus.status import NodeStatus
from apricotcart.errors.tree import StorageError, UnavailableError
from apricotcart.storage.failures import DiskFullError

_log = logging.getLogger(__name__)
# Interval at which a suspended node tries to load its state again.
_RELOAD_INTERVAL_S = 0.5


class Node(NodeStatus):
    """An event-driven Raft node.

    The owner calls `tick` every 20 ms and `receive` for each message, then
    sends the messages from `drain_outbox` and answers requests with the
    outcomes from `drain_completions`. All times are in seconds on the host's
    monotonic clock.

    While the disk is full the role is `Role.SUSPENDED`: the node ignores
    messages and rejects requests, as if its process had ended. It continues
    from its durable state once that can be loaded, which requires some room.

    After any other failed write the role is `Role.FAILED`: the node sends no
    more messages and rejects every request. The owner ends the process.
    """

    replica_type: ClassVar[type[Replica]] = Replica

    def __init__(self, core: Core) -> None:
        """Initialize as a follower without a known leader."""
        super().__init__(core, self.replica_type(core))
        self._last_ticket = 0
        self._reload_at: float = 0

    @classmethod
    def from_config(
        cls,
        cfg: NodeConfig,
        store: LogStore,
        machine: StateMachine,
        rng: random.Random,
    ) -> Node:
        """Build a node from its durable state; it may be suspended.

        Raises
        ------
        StorageError
            If the store cannot be read for another reason than a full disk.
        """
        node = cls(Core(cfg, store, machine, rng))
        node.load()
        return node

    def load(self) -> None:
        """Start from the durable state, or suspend if the disk is full.

        Raises
        ------
        StorageError
            If the store cannot be read for another reason.
        """
        try:
            self._core.load()
        except DiskFullError as exc:
            self._suspend(exc)
            return
        self._replica = self.replica_type(self._core)

    def tick(self, now: float) -> None:
        """Run the timers that are due."""
        if self._core.role is Role.SUSPENDED and now >= self._reload_at:
            self._reload(now)
        self._run_unless_stopped(now, self._replica.tick)

    def receive(self, now: float, message: Message) -> None:
        """Handle a message; ignore one addressed to another identity."""
        if message.to_id == self._core.cfg.node_id:
            self._run_unless_stopped(now, self._replica.receive, message)

    def propose(self, now: float, command: bytes) -> int:
        """Queue a command and return its ticket.

        The next `drain_outbox` writes and sends all queued commands. The
        completion contains the reply of the state machine, a
        `NotLeaderError` if nothing was done, or an `UnavailableError` if
        the command may or may not be committed.
        """
        return self._submit(now, self._replica.propose, command)

    def read(self, now: float, *, is_settled: bool = False) -> int:
        """Request confirmation of the leadership and return the ticket.

        When the completion arrives without an error, the state machine has
        applied everything that was committed before this call. With
        ``is_settled``, those of a quorum have.
        """
        replica = self._replica
        return self._submit(now, replica.settle if is_settled else replica.read)

    def change_members(self, now: float, change: MemberChange) -> int:
        """Start a membership change and return its ticket.

        The reply is the encoded `Members`. A joining node is promoted later,
        once it has caught up.
        """
        return self._submit(now, self._replica.change_members, change)

    def drain_outbox(self) -> list[Message]:
        """Write queued proposals and return the messages to send."""
        core = self._core
        self._run_unless_stopped(core.now, self._replica.flush)
        outbox = core.outbox
        core.outbox = []
        return outbox

    def drain_completions(self) -> list[Completion]:
        """Return the completions since the last call."""
        completions = self._core.completions
        self._core.completions = []
        return completions

    def _submit(
        self,
        now: float,
        action: Callable[..., None],
        *args: object,
    ) -> int:
        self._last_ticket += 1
        ticket = self._last_ticket
        core = self._core
        if core.role is Role.FAILED:
            error = UnavailableError('this node has stopped after an error')
            core.complete(ticket, error=error)
        elif core.role is Role.SUSPENDED:
            core.complete(ticket, error=not_leader_error(core))
        else:
            self._run_unless_stopped(now, action, ticket, *args)
        return ticket

    def _run_unless_stopped(
        self,
        now: float,
        action: Callable[..., None],
        *args: object,
    ) -> None:
        if self._core.role in {Role.FAILED, Role.SUSPENDED}:
            return
        try:
            self._advance_and_call(now, action, *args)
        except DiskFullError as exc:
            self._suspend(exc)
        except (StorageError, LogConflictError) as exc:
            self._fail(exc)

    def _reload(self, now: float) -> None:
        self._core.now = max(self._core.now, now)
        try:
            self.load()
        except StorageError as exc:
            self._fail(exc)

    def _suspend(self, exc: DiskFullError) -> None:
        core = self._core
        if core.role is not Role.SUSPENDED:
            _log.error('node %s is suspended: %s', core.cfg.node_id, exc)
        self._reload_at = core.now + _RELOAD_INTERVAL_S
        self._replica.stop(Role.SUSPENDED)

    def _fail(self, exc: Exception) -> None:
        _log.error(
            'node %s stopped after an error: %s', self._core.cfg.node_id, exc
        )
        self._replica.stop(Role.FAILED)

    def _advance_and_call(
        self,
        now: float,
        action: Callable[..., None],
        *args: object,
    ) -> None:
        self._replica.advance_clock(now)
        action(*args)


def bootstrap(store: LogStore, members: Members) -> None:
    """Write the initial members of a new cluster into an empty store.

    All initial voters need the same members. A host that is added or
    replaced later starts with an empty store instead.
    """
    snapshot = Snapshot(index=0, term=0, members=members, blob=b'')
    store.save_snapshot(snapshot, 1)
