"""Dispatch of events to the components of a node."""

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
    """A node without the handling of failed writes."""

    elections_type: ClassVar[type[Elections]] = Elections
    leadership_type: ClassVar[type[Leadership]] = Leadership

    def __init__(self, core: Core) -> None:
        """Initialize as a follower."""
        self.core = core
        self.applier = Applier(core)
        self.elections = self.elections_type(core)
        self.follower = Follower(core, self.applier)
        self.leadership: Leadership | None = None
        self._started = False

    def advance_clock(self, now: float) -> None:
        """Advance the clock to the time of an event."""
        self.core.now = max(self.core.now, now)
        if not self._started:
            self._started = True
            self.elections.start()

    def tick(self) -> None:
        """Run the timers of the current role."""
        if self.leadership is not None:
            self.leadership.tick()
        elif self.elections.tick():
            self._become_leader()
        self.end_lost_leadership()

    def receive(self, message: Message) -> None:
        """Handle a message from another node."""
        if isinstance(message, (AppendRequest, SnapshotChunk)):
            self._on_leader_message(message)
        elif isinstance(message, (AppendReply, SnapshotReply)):
            self._on_follower_reply(message)
        else:
            self._on_election_message(message)
        self.end_lost_leadership()

    def propose(self, ticket: int, command: bytes) -> None:
        """Queue a command if this node leads."""
        if self.leadership is None:
            self.core.complete(ticket, error=not_leader_error(self.core))
            return
        self.leadership.propose(ticket, command)

    def read(self, ticket: int) -> None:
        """Queue a read if this node leads."""
        if self.leadership is None:
            self.core.complete(ticket, error=not_leader_error(self.core))
            return
        self.leadership.reads.add(ticket)

    def settle(self, ticket: int) -> None:
        """Wait for a quorum to apply what is committed, if this node leads."""
        if self.leadership is None:
            self.core.complete(ticket, error=not_leader_error(self.core))
            return
        self.leadership.settle(ticket)

    def change_members(self, ticket: int, change: MemberChange) -> None:
        """Start a membership change if this node leads."""
        if self.leadership is None:
            self.core.complete(ticket, error=not_leader_error(self.core))
            return
        try:
            self.leadership.change_members(ticket, change)
        except MembershipError as exc:
            self.core.complete(ticket, error=exc)
        self.end_lost_leadership()

    def flush(self) -> None:
        """Write and send queued proposals."""
        if self.leadership is not None:
            self.leadership.flush()
        self.end_lost_leadership()

    def end_lost_leadership(self) -> None:
        """End the leadership if this node is no longer the leader."""
        if self.leadership is None or self.core.role is Role.LEADER:
            return
        self.leadership.fail_pending()
        self.leadership = None
        self.elections.schedule_retry()

    def stop(self, role: Role) -> None:
        """Stop after a failed write, in the role that tells why."""
        self.core.role = role
        self.core.leader_id = ''
        self.core.outbox.clear()
        self.end_lost_leadership()

    def _become_leader(self) -> None:
        core = self.core
        core.role = Role.LEADER
        core.leader_id = core.cfg.node_id
        self.leadership = self.leadership_type(core, self.applier)

    def _on_election_message(self, message: Message) -> None:
        if isinstance(message, VoteRequest):
            self.elections.on_request(message)
        elif isinstance(message, VoteReply):
            if self.elections.on_reply(message):
                self._become_leader()

    def _on_leader_message(
        self, message: AppendRequest | SnapshotChunk
    ) -> None:
        if message.term < self.core.term:
            self.follower.reject_stale_term(message)
            return
        self.elections.become_follower(message.term, message.from_id)
        # End the own leadership first: its tickets must not be completed with
        # the replies of the new leader's entries.
        self.end_lost_leadership()
        self.elections.on_leader_contact()
        if isinstance(message, AppendRequest):
            self.follower.on_append(message)
        else:
            self.follower.on_chunk(message)

    def _on_follower_reply(self, message: AppendReply | SnapshotReply) -> None:
        if message.term > self.core.term:
            # A rejection from a newer term must not extend the own lease or
            # confirm reads.
            self.elections.become_follower(message.term, '')
            self.end_lost_leadership()
        if self.leadership is None or message.term != self.core.term:
            return
        if isinstance(message, AppendReply):
            self.leadership.on_append_reply(message)
        else:
            self.leadership.replicator.on_snapshot_reply(message)
        self.leadership.advance_commit()


def not_leader_error(core: Core) -> NotLeaderError:
    """Return the error of a request to a node that does not lead.

    It names the leader, and when that was last heard.
    """
    return NotLeaderError(
        'this node is not the leader',
        leader=core.leader_id,
        term=core.term,
        heard_s=core.now - core.leader_heard_at,
    )
