"""What a node does while it leads one term."""

from __future__ import annotations

from collections import deque
from typing import ClassVar

from apricotcart.consensus.api import Entry, EntryKind, Role
from apricotcart.consensus.applier import Applier
from apricotcart.consensus.config import HEARTBEAT_S, MAX_UNCOMMITTED_BYTES
from apricotcart.consensus.contact import QuorumContact
from apricotcart.consensus.core import Core
from apricotcart.consensus.failures import MembershipError
from apricotcart.consensus.joining import next_step
from apricotcart.consensus.members import MemberChange
from apricotcart.consensus.reads import ReadQueue
from apricotcart.consensus.replicator import Replicator
from apricotcart.errors.tree import UnavailableError


class Leadership:
    """Proposals, reads and membership changes of one term.

    Proposals are collected until `flush`, which makes them durable with one
    sync and sends them as one batch.
    """

    contact_type: ClassVar[type[QuorumContact]] = QuorumContact

    def __init__(self, core: Core, applier: Applier) -> None:
        """Start the term with an entry of its own.

        Entries of earlier terms are committed only together with an entry
        of this term.
        """
        self.core = core
        self.applier = applier
        self.contact = self.contact_type(core.cfg.node_id, core.now)
        self.replicator = Replicator(core, self.contact)
        self.reads = ReadQueue()
        self.first_index = core.log.last_index + 1
        self._queue: list[tuple[int | None, int, bytes]] = []
        self._uncommitted: deque[tuple[int, int]] = deque()
        self._uncommitted_bytes = 0
        self._enqueue(None, EntryKind.NOOP, b'')
        self.contact.open_round(core.now)
        self.flush()

    @property
    def is_established(self) -> bool:
        """Whether an entry of this term is committed."""
        return self.core.commit_index >= self.first_index

    def lease_until(self) -> float:
        """Give the end of the lease in seconds, 0.0 without contact."""
        return self.contact.lease_until(self.core.log.history.members)

    def propose(self, ticket: int, command: bytes) -> None:
        """Queue a command."""
        held_bytes = self._uncommitted_bytes + len(command)
        if held_bytes > MAX_UNCOMMITTED_BYTES:
            error = UnavailableError('too many uncommitted proposals')
            self.core.complete(ticket, error=error)
            return
        self._enqueue(ticket, EntryKind.COMMAND, command)

    def change(self, ticket: int | None, change: MemberChange) -> None:
        """Append a membership change.

        Raises
        ------
        MembershipError
            If another change is not committed yet or this one does not fit.
        """
        if not self.is_established:
            raise MembershipError('this leader has not committed yet')
        history = self.core.log.history
        if history.index > self.core.commit_index:
            raise MembershipError('another change is in progress')
        members = history.members.after(change)
        self._enqueue(ticket, EntryKind.MEMBERS, members.to_bytes())
        self.flush()
        self.replicator.follow_members()
        self.replicator.replicate()

    def tick(self) -> None:
        """Step down, open a round or go on with a replacement."""
        core = self.core
        if self.contact.is_lost(core.now, core.log.history.members):
            core.role = Role.FOLLOWER
            core.leader_id = ''
            return
        step = next_step(core, self.contact, self.replicator.progress)
        if step is not None and self.is_established:
            self.change(None, step)
        reads_wait = bool(self.reads.waiting) and self.is_established
        due_at = self.contact.opened_at + HEARTBEAT_S
        if reads_wait or core.now >= due_at:
            self._open_round()

    def flush(self) -> None:
        """Make the queued entries durable and send them."""
        if not self._queue:
            return
        first = self.core.log.last_index + 1
        entries: list[Entry] = []
        for index, queued in enumerate(self._queue, start=first):
            ticket, kind, payload = queued
            entries.append(Entry(index, self.core.term, kind, payload))
            self._uncommitted.append((index, len(payload)))
            if ticket is not None:
                self.applier.tickets[index] = ticket
        self._queue = []
        self.core.log.append(entries)
        self.replicator.replicate()
        self.advance()

    def advance(self) -> None:
        """Commit what a quorum holds and confirm the reads."""
        core = self.core
        match = self.replicator.quorum_match()
        if core.log.term_at(match) == core.term:
            self.applier.commit(match)
            self._release(match)
        members = core.log.history.members
        for ticket in self.reads.confirmed(self.contact.quorum_round(members)):
            core.complete(ticket)
        if not core.is_voter and core.log.history.index <= core.commit_index:
            core.role = Role.FOLLOWER
            core.leader_id = ''

    def resign(self) -> None:
        """Report every open ticket as unavailable.

        A command that was proposed may still be committed by the next
        leader.
        """
        tickets = [ticket for ticket, _, _ in self._queue if ticket]
        tickets.extend(self.applier.tickets.values())
        tickets.extend(self.reads.drain())
        self.applier.tickets.clear()
        for ticket in tickets:
            error = UnavailableError('leadership ended before the commit')
            self.core.complete(ticket, error=error)

    def _enqueue(self, ticket: int | None, kind: int, payload: bytes) -> None:
        self._queue.append((ticket, kind, payload))
        self._uncommitted_bytes += len(payload)

    def _open_round(self) -> None:
        self.contact.open_round(self.core.now)
        if self.is_established:
            self.reads.assign(self.contact.round_no)
        self.replicator.heartbeat()
        self.advance()

    def _release(self, index: int) -> None:
        while self._uncommitted and self._uncommitted[0][0] <= index:
            _, size = self._uncommitted.popleft()
            self._uncommitted_bytes -= size
