"""State shared by the components of one node."""

from __future__ import annotations

import random
from typing import Any, TypeVar

from apricotcart.consensus.api import (
    Completion,
    LogStore,
    Role,
    StateMachine,
    StoredState,
    Vote,
)
from apricotcart.consensus.config import NodeConfig
from apricotcart.consensus.messages import Message
from apricotcart.consensus.raft_log import RaftLog
from apricotcart.errors.tree import ApricotcartError

_MessageT = TypeVar('_MessageT', bound=Message)


class Core:
    """Role, term, log, state machine and pending output of one node.

    Attributes
    ----------
    now : float
        Time of the current event on the host's monotonic clock, in seconds.
    vote_guard_until : float
        The node grants no vote before this time, in seconds.
    commit_index, applied_index : int
        Index of the last entry known to be committed, and of the last
        one applied.
    leader_heard_at : float
        When the last message of a leader came, in seconds.
    loaded_index : int
        Index of the last entry in the durable state when it was loaded. Until
        that is committed, the node may have applied more before than now.
    """

    __slots__ = (
        '_initial_state',
        '_store',
        'applied_index',
        'cfg',
        'commit_index',
        'completions',
        'vote_guard_until',
        'leader_heard_at',
        'leader_id',
        'loaded_index',
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
        """Initialize without reading the store; see `load`."""
        self.cfg = cfg
        self.machine = machine
        self.rng = rng
        self._store = store
        self._initial_state = machine.snapshot()
        self.now: float = 0
        self.completions: list[Completion] = []
        self._reset(StoredState(vote=Vote(), snapshot=None, entries=[]))

    def load(self) -> None:
        """Load the durable state and restore the state machine from it.

        Raises
        ------
        StorageError
            If the store cannot be read; nothing has changed.
        """
        stored = self._store.load()
        self._reset(stored)
        snapshot = stored.snapshot
        if snapshot is None or not snapshot.index:
            self.restore(self._initial_state, 0)
        else:
            self.restore(snapshot.blob, snapshot.index)

    @property
    def term(self) -> int:
        """The current term."""
        return self.vote.term

    @property
    def is_voter(self) -> bool:
        """Whether this node is a voter in the current members."""
        return self.cfg.node_id in self.log.history.members.voters

    @property
    def peer_ids(self) -> list[str]:
        """Identities of all other members."""
        own_id = self.cfg.node_id
        return [
            node
            for node in self.log.history.members.all_members
            if node != own_id
        ]

    def save_vote(self, term: int, voted_for: str) -> None:
        """Durably store a term and a vote."""
        vote = Vote(term=term, voted_for=voted_for)
        self._store.save_vote(vote)
        self.vote = vote

    def restore(self, blob: bytes, index: int) -> None:
        """Restore the state machine from a snapshot."""
        self.machine.restore(blob)
        self.commit_index = index
        self.applied_index = index

    def send(
        self, message_type: type[_MessageT], to_id: str, **fields: Any
    ) -> None:
        """Queue a message, with the current term unless one is given."""
        fields.setdefault('term', self.term)
        message = message_type(from_id=self.cfg.node_id, to_id=to_id, **fields)
        self.outbox.append(message)

    def complete(
        self,
        ticket: int,
        reply: bytes = b'',
        error: ApricotcartError | None = None,
    ) -> None:
        """Queue the outcome of a ticket."""
        self.completions.append(
            Completion(ticket=ticket, reply=reply, error=error),
        )

    def _reset(self, stored: StoredState) -> None:
        self.vote = stored.vote
        self.log = RaftLog(self._store, stored)
        self.loaded_index = self.log.last_index
        self.role = Role.FOLLOWER
        self.leader_id = ''
        self.leader_heard_at: float = 0
        self.vote_guard_until: float = 0
        self.outbox: list[Message] = []
        self.commit_index = 0
        self.applied_index = 0
