"""Interfaces between a Raft node, its log store and its state machine."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import TYPE_CHECKING

from apricotcart.codec.record import Record

if TYPE_CHECKING:
    from apricotcart.consensus.members import Members
    from apricotcart.errors.tree import ApricotcartError


class Role(enum.StrEnum):
    """Role of a node."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    LEARNER = 'learner'
    # The disk is full; the node neither votes nor stores entries.
    SUSPENDED = 'suspended'
    FAILED = 'failed'


class EntryKind(enum.IntEnum):
    """Type of the payload of a log entry."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Entry:
    """One entry of the replicated log."""

    __slots__ = ('index', 'kind', 'payload', 'term')

    def __init__(
        self,
        index: int,
        term: int,
        kind: int,
        payload: bytes,
    ) -> None:
        self.index = index
        self.term = term
        self.kind = kind
        self.payload = payload

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Entry):
            return NotImplemented
        return self.as_tuple() == other.as_tuple()

    def __repr__(self) -> str:
        """Show the index, the term and the payload size."""
        size = len(self.payload)
        return f'Entry({self.index}, term={self.term}, bytes={size})'

    __hash__ = None  # type: ignore[assignment]

    def as_tuple(self) -> tuple[int, int, int, bytes]:
        """Return all fields as a tuple."""
        return (self.index, self.term, self.kind, self.payload)


class Vote(Record):
    """The current term and the candidate that this node voted for."""

    __slots__ = ('term', 'voted_for')

    def __init__(self, *, term: int = 0, voted_for: str = '') -> None:
        """Initialize the vote; an empty ``voted_for`` means no vote."""
        self.term = term
        self.voted_for = voted_for


class Snapshot:
    """State of the state machine after the entry at ``index``."""

    __slots__ = ('blob', 'index', 'members', 'term')

    def __init__(
        self,
        *,
        index: int,
        term: int,
        members: Members,
        blob: bytes,
    ) -> None:
        self.index = index
        self.term = term
        self.members = members
        self.blob = blob


class StoredState:
    """Durable state that a node loads at startup."""

    __slots__ = ('entries', 'snapshot', 'vote')

    def __init__(
        self,
        *,
        vote: Vote,
        snapshot: Snapshot | None,
        entries: list[Entry],
    ) -> None:
        self.vote = vote
        self.snapshot = snapshot
        self.entries = entries


class Completion:
    """Outcome of a proposal, a read or a membership change."""

    __slots__ = ('error', 'reply', 'ticket')

    def __init__(
        self,
        *,
        ticket: int,
        reply: bytes = b'',
        error: ApricotcartError | None = None,
    ) -> None:
        self.ticket = ticket
        self.reply = reply
        self.error = error


class StateMachine(ABC):
    """Deterministic state machine that applies committed commands."""

    @abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command of the entry at ``index`` and return the reply."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the encoded state."""

    @abstractmethod
    def restore(self, blob: bytes) -> None:
        """Replace the state with that of a snapshot."""


class LogStore(ABC):
    """Durable storage of one node.

    Writes are durable when the method returns. Every method raises
    `StorageError` on failure, after which `load` must be called before any
    other method, except after a failed `save_snapshot` that raises
    `DiskFullError`: it has changed nothing.
    """

    @abstractmethod
    def load(self) -> StoredState:
        """Return the durable state; called before any other method."""

    @abstractmethod
    def append(self, entries: Sequence[Entry]) -> None:
        """Append consecutive entries with a single sync."""

    @abstractmethod
    def truncate(self, from_index: int) -> None:
        """Delete the entries from ``from_index`` on."""

    @abstractmethod
    def save_vote(self, vote: Vote) -> None:
        """Replace the vote."""

    @abstractmethod
    def save_snapshot(self, snapshot: Snapshot, first_kept: int) -> None:
        """Replace the snapshot, then delete entries before ``first_kept``.

        A ``first_kept`` after the last entry deletes the whole log; the next
        entry appended is then the one after the snapshot.
        """
