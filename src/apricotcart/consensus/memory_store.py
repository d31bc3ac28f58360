"""In-memory log store, for clusters within one process."""

from __future__ import annotations

from collections.abc import Sequence

from apricotcart.consensus.api import (
    Entry,
    LogStore,
    Snapshot,
    StoredState,
    Vote,
)


class MemoryStore(LogStore):
    """Keeps the state in memory; another node can load it again."""

    def __init__(self) -> None:
        self._vote = Vote()
        self._snapshot: Snapshot | None = None
        self._entries: list[Entry] = []

    def load(self) -> StoredState:
        """Return the stored state."""
        return StoredState(
            vote=self._vote,
            snapshot=self._snapshot,
            entries=list(self._entries),
        )

    def append(self, entries: Sequence[Entry]) -> None:
        """Append the entries."""
        self._entries.extend(entries)

    def truncate(self, from_index: int) -> None:
        """Delete the entries from ``from_index`` on."""
        self._entries = [
            entry for entry in self._entries if entry.index < from_index
        ]

    def save_vote(self, vote: Vote) -> None:
        """Replace the vote."""
        self._vote = vote

    def save_snapshot(self, snapshot: Snapshot, first_kept: int) -> None:
        """Replace the snapshot, then delete entries before ``first_kept``."""
        self._snapshot = snapshot
        self._entries = [
            entry for entry in self._entries if entry.index >= first_kept
        ]
