"""In-memory log that mirrors the durable one."""

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
    """Log entries after a base index, and the members that they set.

    The entries up to ``base_index`` are committed and have been compacted;
    the term at the base is retained to compare logs.

    Attributes
    ----------
    snapshot : Snapshot or None
        The last snapshot; its index is at the base or after it.
    history : MembersHistory
        The current members, and those at earlier indexes.
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
        """Initialize from the loaded durable state."""
        self._store = store
        self._entries = stored.entries
        self.snapshot = stored.snapshot
        self.base_index = 0
        self.base_term = 0
        self.history = MembersHistory(0, Members())
        if stored.snapshot is not None:
            self._reset_to(stored.snapshot)
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
        """Return the term at an index, or None if the log has no such entry."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entries_between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self.base_index - 1
        return self._entries[start : last - self.base_index]

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries durably, then in memory."""
        self._store.append(entries)
        self._entries.extend(entries)
        self.history.extend(entries)

    def merge(self, entries: Sequence[Entry], commit_index: int) -> None:
        """Append the entries of a leader that the log does not have.

        Conflicting uncommitted entries are deleted first.

        Raises
        ------
        LogConflictError
            If an entry conflicts with a committed one.
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

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index in the log with the same term as ``index``."""
        term = self.term_at(index)
        first = index
        while first > self.base_index + 1:
            if self.term_at(first - 1) != term:
                break
            first -= 1
        return first

    def compact(self, snapshot: Snapshot, trailing_count: int) -> None:
        """Save a snapshot of applied entries and compact the log."""
        first_kept = max(self.base_index, snapshot.index - trailing_count) + 1
        self._store.save_snapshot(snapshot, first_kept)
        base_term = self.term_at(first_kept - 1)
        dropped_count = first_kept - 1 - self.base_index
        self._entries = self._entries[dropped_count:]
        self.base_index += dropped_count
        self.base_term = base_term or 0
        self.history.compact(self.base_index)
        self.snapshot = snapshot

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log with a snapshot from the leader.

        Later entries are kept if the log matches the snapshot at its index.
        """
        kept_entries: list[Entry] = []
        if self.term_at(snapshot.index) == snapshot.term:
            kept_entries = self.entries_between(
                snapshot.index + 1, self.last_index
            )
        first_kept = max(self.last_index, snapshot.index) + 1
        if kept_entries:
            first_kept = snapshot.index + 1
        self._store.save_snapshot(snapshot, first_kept)
        self._entries = kept_entries
        self.snapshot = snapshot
        self._reset_to(snapshot)
        self.history.extend(kept_entries)

    def _reset_to(self, snapshot: Snapshot) -> None:
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.history = MembersHistory(snapshot.index, snapshot.members)
        old_entries = self._entries
        self._entries = [
            entry for entry in old_entries if entry.index > snapshot.index
        ]

    def _truncate(self, from_index: int, commit_index: int) -> None:
        if from_index <= commit_index:
            raise LogConflictError(
                f'entry {from_index} from the leader conflicts with a '
                f'committed entry; the commit index is {commit_index}',
            )
        self._store.truncate(from_index)
        self._entries = self._entries[: from_index - self.base_index - 1]
        self.history.truncate(from_index)
