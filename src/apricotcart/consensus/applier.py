"""Applies committed entries and takes snapshots."""

from __future__ import annotations

from apricotcart.consensus.api import Entry, EntryKind, Snapshot
from apricotcart.consensus.core import Core


class Applier:
    """Feeds the machine and reports replies to the tickets.

    Attributes
    ----------
    tickets : dict of int to int
        Tickets of this leader's own entries by index.
    """

    def __init__(self, core: Core) -> None:
        """Start without tickets."""
        self.core = core
        self.tickets: dict[int, int] = {}

    def commit(self, index: int) -> None:
        """Advance the commit index, apply and shorten the log if due."""
        core = self.core
        if index <= core.commit_index:
            return
        core.commit_index = index
        for entry in core.log.between(core.applied_index + 1, index):
            self._apply(entry)
        snapshot = core.log.snapshot
        covered = snapshot.index if snapshot else 0
        if core.applied_index - covered >= core.cfg.snapshot_every:
            self.compact()

    def compact(self) -> None:
        """Save a snapshot at the applied index."""
        core = self.core
        snapshot = Snapshot(
            index=core.applied_index,
            term=core.log.term_at(core.applied_index) or 0,
            members=core.log.history.at(core.applied_index),
            blob=core.machine.snapshot(),
        )
        core.log.compact(snapshot, core.cfg.snapshot_trailing)

    def _apply(self, entry: Entry) -> None:
        core = self.core
        reply = b''
        if entry.kind == EntryKind.COMMAND:
            reply = core.machine.apply(entry.index, entry.payload)
        if entry.kind == EntryKind.MEMBERS:
            reply = entry.payload
        core.applied_index = entry.index
        ticket = self.tickets.pop(entry.index, None)
        if ticket is not None:
            core.complete(ticket, reply)
