"""Application of committed entries to the state machine; snapshots."""

from __future__ import annotations

import logging

from apricotcart.consensus.api import Entry, EntryKind, Snapshot
from apricotcart.consensus.config import (
    ENTRY_OVERHEAD_BYTES,
    SNAPSHOT_EVERY_BYTES,
    SNAPSHOT_TRAILING_BYTES,
)
from apricotcart.consensus.core import Core
from apricotcart.storage.failures import DiskFullError

_log = logging.getLogger(__name__)
# Time after which a snapshot that had no room on the disk is tried again.
_SNAPSHOT_RETRY_S = 5.0


class Applier:
    """Applies committed entries and completes the tickets of proposals.

    Attributes
    ----------
    tickets : dict of int to int
        Tickets of the entries that this leader proposed, by log index.
    """

    def __init__(self, core: Core) -> None:
        """Initialize without tickets."""
        self.core = core
        self.tickets: dict[int, int] = {}
        self._applied_bytes = 0
        self._next_snapshot_at: float = 0

    def commit(self, index: int) -> None:
        """Advance the commit index; apply entries and compact if due."""
        core = self.core
        if index <= core.commit_index:
            return
        core.commit_index = index
        for entry in core.log.entries_between(core.applied_index + 1, index):
            self._apply(entry)
        if self._is_snapshot_due():
            self._save_snapshot_if_room()

    def save_snapshot(self) -> None:
        """Save a snapshot at the applied index and compact the log."""
        core = self.core
        snapshot = Snapshot(
            index=core.applied_index,
            term=core.log.term_at(core.applied_index) or 0,
            members=core.log.history.at(core.applied_index),
            blob=core.machine.snapshot(),
        )
        core.log.compact(snapshot, self._trailing_count())
        self._applied_bytes = 0

    def _save_snapshot_if_room(self) -> None:
        # The log goes on without a snapshot as long as it has room itself.
        try:
            self.save_snapshot()
        except DiskFullError as exc:
            _log.warning('no room for a snapshot of the log: %s', exc)
            self._next_snapshot_at = self.core.now + _SNAPSHOT_RETRY_S

    def _is_snapshot_due(self) -> bool:
        if self.core.now < self._next_snapshot_at:
            return False
        # The log must also have grown by the size of the last snapshot, so
        # that a large state is not rewritten after a few small entries.
        core = self.core
        snapshot = core.log.snapshot
        if snapshot is not None and self._applied_bytes < len(snapshot.blob):
            return False
        snapshot_index = snapshot.index if snapshot else 0
        if core.applied_index - snapshot_index >= core.cfg.snapshot_every:
            return True
        return self._applied_bytes >= SNAPSHOT_EVERY_BYTES

    def _trailing_count(self) -> int:
        core = self.core
        last = core.applied_index
        kept_bytes = 0
        count = 0
        first = max(core.log.base_index, last - core.cfg.snapshot_trailing) + 1
        for entry in reversed(core.log.entries_between(first, last)):
            kept_bytes += len(entry.payload)
            if kept_bytes > SNAPSHOT_TRAILING_BYTES:
                break
            count += 1
        return count

    def _apply(self, entry: Entry) -> None:
        core = self.core
        reply = b''
        if entry.kind == EntryKind.COMMAND:
            reply = core.machine.apply(entry.index, entry.payload)
        if entry.kind == EntryKind.MEMBERS:
            reply = entry.payload
        core.applied_index = entry.index
        self._applied_bytes += len(entry.payload) + ENTRY_OVERHEAD_BYTES
        ticket = self.tickets.pop(entry.index, None)
        if ticket is not None:
            core.complete(ticket, reply)
