"""Duties of the leader of one term."""

from __future__ import annotations

from collections import deque
from typing import ClassVar

from apricotcart.consensus.api import Entry, EntryKind, Role
from apricotcart.consensus.applier import Applier
from apricotcart.consensus.config import (
    HEARTBEAT_INTERVAL_S,
    MAX_UNCOMMITTED_BYTES,
)
from apricotcart.consensus.core import Core
from apricotcart.consensus.failures import MembershipError
from apricotcart.consensus.joining import next_membership_change
from apricotcart.consensus.member_changes import apply_change
from apricotcart.consensus.members import MemberChange
from apricotcart.consensus.messages import AppendReply
from apricotcart.consensus.quorum_contact import QuorumContact
from apricotcart.consensus.read_queue import ReadQueue
from apricotcart.consensus.replicator import Replicator
from apricotcart.consensus.settling import Settling
from apricotcart.errors.tree import UnavailableError


class Leadership:
    """Handles proposals, reads and membership changes in one term.

    Proposals are queued until `flush`, which makes them durable with a
    single sync and sends them as one batch.
    """

    quorum_contact_type: ClassVar[type[QuorumContact]] = QuorumContact

    def __init__(self, core: Core, applier: Applier) -> None:
        """Start the term with a no-op entry.

        Entries of earlier terms can be committed only together with an
        entry of the current term.
        """
        self.core = core
        self.applier = applier
        self.contact = self.quorum_contact_type(core.cfg.node_id, core.now)
        self.replicator = Replicator(core, self.contact)
        self.reads = ReadQueue()
        self.settling = Settling(core.cfg.node_id)
        self.first_index = core.log.last_index + 1
        self._queued_entries: list[tuple[int | None, int, bytes]] = []
        self._uncommitted: deque[tuple[int, int]] = deque()
        self._uncommitted_bytes = 0
        self._enqueue(None, EntryKind.NOOP, b'')
        self.contact.open_round(core.now)
        self.flush()

    @property
    def is_established(self) -> bool:
        """Whether an entry of this term is committed."""
        return self.core.commit_index >= self.first_index

    def lease_expires_at(self) -> float:
        """Return the end of the lease in seconds, 0.0 if there is none."""
        return self.contact.lease_expires_at(self.core.log.history.members)

    def propose(self, ticket: int, command: bytes) -> None:
        """Queue a command."""
        uncommitted_bytes = self._uncommitted_bytes + len(command)
        if uncommitted_bytes > MAX_UNCOMMITTED_BYTES:
            error = UnavailableError(
                f'{uncommitted_bytes} bytes of uncommitted proposals exceed '
                f'the limit of {MAX_UNCOMMITTED_BYTES} bytes'
            )
            self.core.complete(ticket, error=error)
            return
        self._enqueue(ticket, EntryKind.COMMAND, command)

    def settle(self, ticket: int) -> None:
        """Wait until a quorum has applied all that is committed."""
        # What is committed is known once an entry of this term is.
        index = max(self.core.applied_index, self.first_index)
        self.settling.add(ticket, index)

    def on_append_reply(self, reply: AppendReply) -> None:
        """Record what a follower has, and send it more."""
        self.replicator.on_append_reply(reply)
        if reply.accepted:
            self.settling.on_accepted(
                reply.from_id, reply.round_no, reply.match_index
            )

    def change_members(self, ticket: int | None, change: MemberChange) -> None:
        """Append a membership change.

        Raises
        ------
        MembershipError
            If the previous change or the first entry of this term is not
            committed yet, or the change is invalid.
        """
        if not self.is_established:
            raise MembershipError(
                'the leader has not committed an entry of its term yet'
            )
        history = self.core.log.history
        if history.index > self.core.commit_index:
            raise MembershipError('another membership change is in progress')
        members = apply_change(history.members, change)
        self._enqueue(ticket, EntryKind.MEMBERS, members.to_bytes())
        self.flush()
        self.replicator.track_members()
        self.replicator.replicate()

    def tick(self) -> None:
        """Step down, continue a replacement or send heartbeats, as due."""
        core = self.core
        if self.contact.has_lost_quorum(core.now, core.log.history.members):
            core.role = Role.FOLLOWER
            core.leader_id = ''
            return
        membership_change = next_membership_change(
            core, self.contact, self.replicator.progress
        )
        if membership_change is not None and self.is_established:
            self.change_members(None, membership_change)
        is_awaited = bool(self.reads.waiting) or self.settling.needs_round
        next_heartbeat_at = self.contact.round_opened_at + HEARTBEAT_INTERVAL_S
        is_due = core.now >= next_heartbeat_at
        if is_due or (is_awaited and self.is_established):
            self._open_round()

    def flush(self) -> None:
        """Append the queued entries durably and replicate them."""
        if not self._queued_entries:
            return
        first = self.core.log.last_index + 1
        entries: list[Entry] = []
        for index, queued in enumerate(self._queued_entries, start=first):
            ticket, kind, payload = queued
            entries.append(Entry(index, self.core.term, kind, payload))
            self._uncommitted.append((index, len(payload)))
            if ticket is not None:
                self.applier.tickets[index] = ticket
        self._queued_entries = []
        self.core.log.append(entries)
        self.replicator.replicate()
        self.advance_commit()

    def advance_commit(self) -> None:
        """Commit the entries of a quorum and confirm reads.

        Step down if this node is not a voter of the committed members.
        """
        core = self.core
        match_index = self.replicator.quorum_match_index()
        if core.log.term_at(match_index) == core.term:
            self.applier.commit(match_index)
            self._release_committed(match_index)
        members = core.log.history.members
        for ticket in self.reads.pop_confirmed(
            self.contact.last_quorum_round(members)
        ):
            core.complete(ticket)
        for settled in self.settling.pop_settled(members, core.applied_index):
            core.complete(settled)
        if not core.is_voter and core.log.history.index <= core.commit_index:
            core.role = Role.FOLLOWER
            core.leader_id = ''

    def fail_pending(self) -> None:
        """Complete all pending tickets with an `UnavailableError`.

        A proposed command may still be committed by the next leader.
        """
        tickets = [ticket for ticket, _, _ in self._queued_entries if ticket]
        tickets.extend(self.applier.tickets.values())
        tickets.extend(self.reads.drain())
        tickets.extend(self.settling.drain())
        self.applier.tickets.clear()
        for ticket in tickets:
            error = UnavailableError(
                'this node lost the leadership before the request completed'
            )
            self.core.complete(ticket, error=error)

    def _enqueue(self, ticket: int | None, kind: int, payload: bytes) -> None:
        self._queued_entries.append((ticket, kind, payload))
        self._uncommitted_bytes += len(payload)

    def _open_round(self) -> None:
        self.contact.open_round(self.core.now)
        if self.is_established:
            self.reads.assign_round(self.contact.round_no)
        self.settling.on_round(self.contact.round_no, self.core.commit_index)
        self.replicator.send_heartbeats()
        self.advance_commit()

    def _release_committed(self, index: int) -> None:
        while self._uncommitted and self._uncommitted[0][0] <= index:
            _, size = self._uncommitted.popleft()
            self._uncommitted_bytes -= size
