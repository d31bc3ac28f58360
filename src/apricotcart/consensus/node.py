"""One member of a replicated log, without sockets, threads or clocks."""

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
from apricotcart.consensus.replica import Replica
from apricotcart.consensus.status import NodeStatus
from apricotcart.errors.tree import StorageError, UnavailableError

_log = logging.getLogger(__name__)


class Node(NodeStatus):
    """A Raft node that is driven by events.

    The owner calls `tick` every 20 ms and `receive` for each message, then
    sends what `take_outbox` gives and answers what `take_completions`
    gives. All times are seconds on the host's monotonic clock.

    After a failed write the role is `Role.FAILED`: the node sends nothing
    any more and refuses every request. The owner ends the process.
    """

    replica_type: ClassVar[type[Replica]] = Replica

    def __init__(self, core: Core) -> None:
        """Start as a follower of an unknown leader."""
        super().__init__(core, self.replica_type(core))
        self._last_ticket = 0

    @classmethod
    def from_config(
        cls,
        cfg: NodeConfig,
        store: LogStore,
        machine: StateMachine,
        rng: random.Random,
    ) -> Node:
        """Load the store and build the node.

        Raises
        ------
        StorageError
            If the store cannot be read.
        """
        return cls(Core(cfg, store, machine, rng))

    def tick(self, now: float) -> None:
        """Let the timers fire."""
        self._run(now, self._replica.tick)

    def receive(self, now: float, message: Message) -> None:
        """Handle a message; one for another identity is ignored."""
        if message.to_id == self._core.cfg.node_id:
            self._run(now, self._replica.receive, message)

    def propose(self, now: float, command: bytes) -> int:
        """Queue a command and give its ticket.

        The command is written and sent by the next `take_outbox`, together
        with the others that are queued. The completion has the reply of the
        machine, or a `NotLeaderError` if nothing was done, or an
        `UnavailableError` if the command may or may not be committed.
        """
        return self._request(now, self._replica.propose, command)

    def read(self, now: float) -> int:
        """Ask to confirm that this node still leads and give the ticket.

        When the completion arrives without an error, the machine holds
        everything that was committed before this call.
        """
        return self._request(now, self._replica.read)

    def change_members(self, now: float, change: MemberChange) -> int:
        """Start a membership change and give its ticket.

        The reply is the encoded `Members`. A node that joins is promoted
        later, once it has caught up.
        """
        return self._request(now, self._replica.change, change)

    def take_outbox(self) -> list[Message]:
        """Write queued proposals and give the messages to send."""
        core = self._core
        self._run(core.now, self._replica.flush)
        outbox = core.outbox
        core.outbox = []
        return outbox

    def take_completions(self) -> list[Completion]:
        """Give the outcomes since the last call."""
        completions = self._core.completions
        self._core.completions = []
        return completions

    def _request(
        self,
        now: float,
        action: Callable[..., None],
        *args: object,
    ) -> int:
        self._last_ticket += 1
        ticket = self._last_ticket
        if self._core.role is Role.FAILED:
            error = UnavailableError('this host has failed')
            self._core.complete(ticket, error=error)
        else:
            self._run(now, action, ticket, *args)
        return ticket

    def _run(
        self,
        now: float,
        action: Callable[..., None],
        *args: object,
    ) -> None:
        if self._core.role is Role.FAILED:
            return
        try:
            self._step(now, action, *args)
        except (StorageError, LogConflictError) as exc:
            _log.error('node %s stops: %s', self._core.cfg.node_id, exc)
            self._replica.fail()

    def _step(
        self,
        now: float,
        action: Callable[..., None],
        *args: object,
    ) -> None:
        self._replica.advance(now)
        action(*args)


def bootstrap(store: LogStore, members: Members) -> None:
    """Write the first members of a new cluster into an empty store.

    Every first voter gets the same members. A host that is added or
    replaced later starts with an empty store instead.
    """
    snapshot = Snapshot(index=0, term=0, members=members, blob=b'')
    store.save_snapshot(snapshot, 1)
