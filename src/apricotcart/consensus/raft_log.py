"""The log in memory, kept equal to the one in the store."""

from __future__ import annotations

from collections.abc import Sequence

from apricotcart.consensus.api import (
    Entry,
    LogStore,
    Snapshot,
    StoredState,
)
from apricotcart.consensus.failures import LogConflictError
from apricotcart.consensus.members import Members
from apricotcart.consensus.members_history import MembersHistory


class RaftLog:
    """Entries after a base position, and the members that they set.

    The entry at ``base_index`` and those before it are committed and no
    longer held; the term at the base is kept to compare logs.

    Attributes
    ----------
    snapshot : Snapshot or None
        The last snapshot; it reaches to the base or beyond.
    history : MembersHistory
        The members in force, and those before them.
    """

    __slots__ = (
        '_entries',
        '_store',
        'base_index',
        'base_term',
        'history',
        'snapshot',
    )

    def __init__(self, store: LogStore, stored: StoredState) -> None:
        """Take over what the store has loaded."""
        self._store = store
        self._entries = stored.entries
        self.snapshot = stored.snapshot
        self.base_index = 0
        self.base_term = 0
        self.history = MembersHistory(0, Members())
        if stored.snapshot is not None:
            self._start_at(stored.snapshot)
        self.history.extend(self._entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self.base_term

    def term_at(self, index: int) -> int | None:
        """Give the term of an entry, or None where it is not held."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def between(self, first: int, last: int) -> list[Entry]:
        """Give the entries from ``first`` up to and with ``last``."""
        start = first - self.base_index - 1
        return self._entries[start : last - self.base_index]

    def append(self, entries: Sequence[Entry]) -> None:
        """Make entries durable, then hold them."""
        self._store.append(entries)
        self._entries.extend(entries)
        self.history.extend(entries)

    def merge(self, entries: Sequence[Entry], commit_index: int) -> None:
        """Take over a leader's entries where the log does not hold them.

        Raises
        ------
        LogConflictError
            If an entry contradicts a committed one.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self.base_index:
                continue
            if self.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.last_index:
                self._truncate(entry.index, commit_index)
            self.append(entries[position:])
            break

    def first_of_term_at(self, index: int) -> int:
        """Give the first held index with the same term as ``index``."""
        term = self.term_at(index)
        first = index
        while first > self.base_index + 1:
            if self.term_at(first - 1) != term:
                break
            first -= 1
        return first

    def compact(self, snapshot: Snapshot, trailing: int) -> None:
        """Save a snapshot of this log's own entries and shorten the log."""
        first_kept = max(self.base_index, snapshot.index - trailing) + 1
        self._store.save_snapshot(snapshot, first_kept)
        base_term = self.term_at(first_kept - 1)
        dropped = first_kept - 1 - self.base_index
        self._entries = self._entries[dropped:]
        self.base_index += dropped
        self.base_term = base_term or 0
        self.history.compact(self.base_index)
        self.snapshot = snapshot

    def install(self, snapshot: Snapshot) -> None:
        """Save a snapshot from the leader in place of the log.

        Entries after the snapshot stay if the log holds its last entry.
        """
        kept: list[Entry] = []
        if self.term_at(snapshot.index) == snapshot.term:
            kept = self.between(snapshot.index + 1, self.last_index)
        first_kept = max(self.last_index, snapshot.index) + 1
        if kept:
            first_kept = snapshot.index + 1
        self._store.save_snapshot(snapshot, first_kept)
        self._entries = kept
        self.snapshot = snapshot
        self._start_at(snapshot)
        self.history.extend(kept)

    def _start_at(self, snapshot: Snapshot) -> None:
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.history = MembersHistory(snapshot.index, snapshot.members)
        held = self._entries
        self._entries = [
            entry for entry in held if entry.index > snapshot.index
        ]

    def _truncate(self, from_index: int, commit_index: int) -> None:
        if from_index <= commit_index:
            raise LogConflictError(
                f'entry {from_index} is committed up to {commit_index}',
            )
        self._store.truncate(from_index)
        self._entries = self._entries[: from_index - self.base_index - 1]
        self.history.truncate(from_index)
