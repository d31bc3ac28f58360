"""State that the parts of one node share."""

from __future__ import annotations

import random
from typing import Any, TypeVar

from apricotcart.consensus.api import (
    Completion,
    LogStore,
    Role,
    StateMachine,
    Vote,
)
from apricotcart.consensus.config import NodeConfig
from apricotcart.consensus.messages import Message
from apricotcart.consensus.raft_log import RaftLog
from apricotcart.errors.tree import ApricotcartError

_MessageT = TypeVar('_MessageT', bound=Message)


class Core:
    """Role, term, log and output of one node.

    Attributes
    ----------
    now : float
        Time of the current event on the host's monotonic clock, in seconds.
    guard_until : float
        The node gives no vote before this time.
    commit_index, applied_index : int
        Last entry known to be committed, and last one applied.
    """

    __slots__ = (
        '_store',
        'applied_index',
        'cfg',
        'commit_index',
        'completions',
        'guard_until',
        'leader_id',
        'log',
        'machine',
        'now',
        'outbox',
        'rng',
        'role',
        'vote',
    )

    def __init__(
        self,
        cfg: NodeConfig,
        store: LogStore,
        machine: StateMachine,
        rng: random.Random,
    ) -> None:
        """Load the store and restore the machine."""
        self.cfg = cfg
        self.machine = machine
        self.rng = rng
        self._store = store
        stored = store.load()
        self.vote = stored.vote
        self.log = RaftLog(store, stored)
        self.role = Role.FOLLOWER
        self.leader_id = ''
        self.now: float = 0
        self.guard_until: float = 0
        self.outbox: list[Message] = []
        self.completions: list[Completion] = []
        self.commit_index = 0
        self.applied_index = 0
        snapshot = stored.snapshot
        if snapshot is not None and snapshot.index:
            self.restore(snapshot.blob, snapshot.index)

    @property
    def term(self) -> int:
        """The current term."""
        return self.vote.term

    @property
    def is_voter(self) -> bool:
        """Whether this node counts in the members in force."""
        return self.cfg.node_id in self.log.history.members.voters

    @property
    def peers(self) -> list[str]:
        """All members but this node."""
        own_id = self.cfg.node_id
        return [
            node for node in self.log.history.members.everyone if node != own_id
        ]

    def save_vote(self, term: int, voted_for: str) -> None:
        """Make a term and a vote durable."""
        vote = Vote(term=term, voted_for=voted_for)
        self._store.save_vote(vote)
        self.vote = vote

    def restore(self, blob: bytes, index: int) -> None:
        """Put the machine into the state of a snapshot."""
        self.machine.restore(blob)
        self.commit_index = index
        self.applied_index = index

    def send(self, kind: type[_MessageT], to_id: str, **fields: Any) -> None:
        """Put a message into the outbox, in this term unless given."""
        fields.setdefault('term', self.term)
        message = kind(from_id=self.cfg.node_id, to_id=to_id, **fields)
        self.outbox.append(message)

    def complete(
        self,
        ticket: int,
        reply: bytes = b'',
        error: ApricotcartError | None = None,
    ) -> None:
        """Report the outcome for a ticket."""
        self.completions.append(
            Completion(ticket=ticket, reply=reply, error=error),
        )
