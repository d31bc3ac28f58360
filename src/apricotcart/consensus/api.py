"""Interfaces and records between the node, its store and its machine."""

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
    """What a node does at present."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    LEARNER = 'learner'
    FAILED = 'failed'


class EntryKind(enum.IntEnum):
    """What the payload of a log entry is."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Entry:
    """One entry of the log."""

    __slots__ = ('index', 'kind', 'payload', 'term')

    def __init__(
        self,
        index: int,
        term: int,
        kind: int,
        payload: bytes,
    ) -> None:
        """Keep the fields."""
        self.index = index
        self.term = term
        self.kind = kind
        self.payload = payload

    def __eq__(self, other: object) -> bool:
        """Compare all fields."""
        if not isinstance(other, Entry):
            return NotImplemented
        return self.key() == other.key()

    def __repr__(self) -> str:
        """Show the position and the size of the entry."""
        size = len(self.payload)
        return f'Entry({self.index}, term={self.term}, bytes={size})'

    __hash__ = None  # type: ignore[assignment]

    def key(self) -> tuple[int, int, int, bytes]:
        """Give all fields as one tuple."""
        return (self.index, self.term, self.kind, self.payload)


class Vote(Record):
    """The current term and the candidate that got this node's vote."""

    __slots__ = ('term', 'voted_for')

    def __init__(self, *, term: int = 0, voted_for: str = '') -> None:
        """Keep the fields; an empty ``voted_for`` means no vote."""
        self.term = term
        self.voted_for = voted_for


class Snapshot:
    """State of the machine after all entries up to ``index``."""

    __slots__ = ('blob', 'index', 'members', 'term')

    def __init__(
        self,
        *,
        index: int,
        term: int,
        members: Members,
        blob: bytes,
    ) -> None:
        """Keep the fields."""
        self.index = index
        self.term = term
        self.members = members
        self.blob = blob


class StoredState:
    """What a store holds at the start of a node."""

    __slots__ = ('entries', 'snapshot', 'vote')

    def __init__(
        self,
        *,
        vote: Vote,
        snapshot: Snapshot | None,
        entries: list[Entry],
    ) -> None:
        """Keep the fields."""
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
        """Keep the fields."""
        self.ticket = ticket
        self.reply = reply
        self.error = error


class StateMachine(ABC):
    """Deterministic machine that applies the committed commands."""

    @abstractmethod
    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command of the entry at ``index`` and give the reply."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Give the whole state."""

    @abstractmethod
    def restore(self, blob: bytes) -> None:
        """Replace the whole state by that of a snapshot."""


class LogStore(ABC):
    """Durable storage of one node.

    Every method that writes is durable when it returns. Every method raises
    `StorageError` on a failure; the store must not be used any more after
    that.
    """

    @abstractmethod
    def load(self) -> StoredState:
        """Read everything; called once, before any other method."""

    @abstractmethod
    def append(self, entries: Sequence[Entry]) -> None:
        """Append consecutive entries with one sync for all of them."""

    @abstractmethod
    def truncate(self, from_index: int) -> None:
        """Drop the entries at ``from_index`` and after it."""

    @abstractmethod
    def save_vote(self, vote: Vote) -> None:
        """Replace the vote."""

    @abstractmethod
    def save_snapshot(self, snapshot: Snapshot, first_kept: int) -> None:
        """Replace the snapshot, then drop entries before ``first_kept``.

        A ``first_kept`` after the last entry drops the whole log; the next
        entry appended is then the one after the snapshot.
        """
