"""Ties the parts of a node together and dispatches events to them."""

from __future__ import annotations

from typing import ClassVar

from apricotcart.consensus.api import Role
from apricotcart.consensus.applier import Applier
from apricotcart.consensus.core import Core
from apricotcart.consensus.elections import Elections
from apricotcart.consensus.failures import MembershipError
from apricotcart.consensus.follower import Follower
from apricotcart.consensus.leadership import Leadership
from apricotcart.consensus.members import MemberChange
from apricotcart.consensus.messages import (
    AppendReply,
    AppendRequest,
    Message,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from apricotcart.errors.tree import NotLeaderError


class Replica:
    """One node without the handling of failed writes."""

    elections_type: ClassVar[type[Elections]] = Elections
    leadership_type: ClassVar[type[Leadership]] = Leadership

    def __init__(self, core: Core) -> None:
        """Start as a follower."""
        self.core = core
        self.applier = Applier(core)
        self.elections = self.elections_type(core)
        self.follower = Follower(core, self.applier)
        self.leadership: Leadership | None = None
        self._started = False

    def advance(self, now: float) -> None:
        """Take the time of an event."""
        self.core.now = max(self.core.now, now)
        if not self._started:
            self._started = True
            self.elections.start()

    def tick(self) -> None:
        """Let the timers of the present role fire."""
        if self.leadership is not None:
            self.leadership.tick()
        elif self.elections.tick():
            self._lead()
        self.settle()

    def receive(self, message: Message) -> None:
        """Handle a message of another node."""
        if isinstance(message, (AppendRequest, SnapshotChunk)):
            self._on_leader(message)
        elif isinstance(message, (AppendReply, SnapshotReply)):
            self._on_follower(message)
        else:
            self._on_candidate(message)
        self.settle()

    def propose(self, ticket: int, command: bytes) -> None:
        """Queue a command if this node leads."""
        if self.leadership is None:
            self.core.complete(ticket, error=_not_leader(self.core))
            return
        self.leadership.propose(ticket, command)

    def read(self, ticket: int) -> None:
        """Queue a read if this node leads."""
        if self.leadership is None:
            self.core.complete(ticket, error=_not_leader(self.core))
            return
        self.leadership.reads.add(ticket)

    def change(self, ticket: int, change: MemberChange) -> None:
        """Start a membership change if this node leads."""
        if self.leadership is None:
            self.core.complete(ticket, error=_not_leader(self.core))
            return
        try:
            self.leadership.change(ticket, change)
        except MembershipError as exc:
            self.core.complete(ticket, error=exc)
        self.settle()

    def flush(self) -> None:
        """Make queued proposals durable and send them."""
        if self.leadership is not None:
            self.leadership.flush()
        self.settle()

    def settle(self) -> None:
        """Leave the leadership if the role has changed."""
        if self.leadership is None or self.core.role is Role.LEADER:
            return
        self.leadership.resign()
        self.leadership = None
        self.elections.retry_later()

    def fail(self) -> None:
        """Stop for good after a failed write."""
        self.core.role = Role.FAILED
        self.core.leader_id = ''
        self.core.outbox.clear()
        self.settle()

    def _lead(self) -> None:
        core = self.core
        core.role = Role.LEADER
        core.leader_id = core.cfg.node_id
        self.leadership = self.leadership_type(core, self.applier)

    def _on_candidate(self, message: Message) -> None:
        if isinstance(message, VoteRequest):
            self.elections.on_request(message)
        elif isinstance(message, VoteReply):
            if self.elections.on_reply(message):
                self._lead()

    def _on_leader(self, message: AppendRequest | SnapshotChunk) -> None:
        if message.term < self.core.term:
            self.follower.refuse(message)
            return
        self.elections.follow(message.term, message.from_id)
        # Ends an own leadership first: its tickets must not get the replies
        # of the new leader's entries.
        self.settle()
        self.elections.heard_leader()
        if isinstance(message, AppendRequest):
            self.follower.on_append(message)
        else:
            self.follower.on_chunk(message)

    def _on_follower(self, message: AppendReply | SnapshotReply) -> None:
        if message.term > self.core.term:
            # A refusal must not count as contact of an own leadership.
            self.elections.follow(message.term, '')
            self.settle()
        if self.leadership is None or message.term != self.core.term:
            return
        if isinstance(message, AppendReply):
            self.leadership.replicator.on_append_reply(message)
        else:
            self.leadership.replicator.on_snapshot_reply(message)
        self.leadership.advance()


def _not_leader(core: Core) -> NotLeaderError:
    return NotLeaderError('not the leader', leader=core.leader_id)
