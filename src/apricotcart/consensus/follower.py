"""Handling of entries and snapshots from the leader."""

from __future__ import annotations

from apricotcart.consensus.api import Entry, Snapshot
from apricotcart.consensus.applier import Applier
from apricotcart.consensus.core import Core
from apricotcart.consensus.members import Members
from apricotcart.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)


class Follower:
    """Replies to the leader once the received entries are durable."""

    def __init__(self, core: Core, applier: Applier) -> None:
        """Initialize without a partial snapshot."""
        self.core = core
        self.applier = applier
        self._partial_snapshot = bytearray()
        self._partial_snapshot_key = (0, 0)

    def on_append(self, request: AppendRequest) -> None:
        """Append the entries if the preceding entry matches."""
        log = self.core.log
        prev_index = request.prev_index
        if prev_index >= log.base_index:
            if log.term_at(prev_index) != request.prev_term:
                self._reject(request)
                return
        entries = [
            Entry(prev_index + 1 + position, term, kind, payload)
            for position, (term, kind, payload) in enumerate(request.entries)
        ]
        log.merge(entries, self.core.commit_index)
        match_index = prev_index + len(entries)
        self.applier.commit(min(request.commit_index, match_index))
        self._reply(request.from_id, request.round_no, prev_index, match_index)

    def reject_stale_term(self, request: AppendRequest | SnapshotChunk) -> None:
        """Reply to a leader of an older term with the current term."""
        self.core.send(
            AppendReply,
            request.from_id,
            round_no=request.round_no,
            accepted=False,
            prev_index=0,
            match_index=0,
        )

    def on_chunk(self, chunk: SnapshotChunk) -> None:
        """Add a chunk and install the snapshot once it is complete."""
        if chunk.index <= self.core.commit_index:
            index = self.core.commit_index
            self._reply(chunk.from_id, chunk.round_no, index, index)
            return
        self._append_chunk(chunk)
        if len(self._partial_snapshot) < chunk.size:
            self.core.send(
                SnapshotReply,
                chunk.from_id,
                round_no=chunk.round_no,
                index=chunk.index,
                offset=len(self._partial_snapshot),
            )
            return
        self._install(chunk)
        self._reply(chunk.from_id, chunk.round_no, chunk.index, chunk.index)

    def _append_chunk(self, chunk: SnapshotChunk) -> None:
        # Two leaders may encode the snapshot of the same index differently,
        # so only chunks of the same term are combined.
        key = (chunk.term, chunk.index)
        if key != self._partial_snapshot_key:
            self._partial_snapshot = bytearray()
            self._partial_snapshot_key = key
        if chunk.offset == len(self._partial_snapshot):
            self._partial_snapshot += chunk.chunk

    def _install(self, chunk: SnapshotChunk) -> None:
        snapshot = Snapshot(
            index=chunk.index,
            term=chunk.snapshot_term,
            members=Members.from_wire(chunk.members),
            blob=bytes(self._partial_snapshot),
        )
        self._partial_snapshot = bytearray()
        self._partial_snapshot_key = (0, 0)
        self.core.log.install(snapshot)
        self.core.restore(snapshot.blob, snapshot.index)

    def _reject(self, request: AppendRequest) -> None:
        log = self.core.log
        last_possible_match = min(request.prev_index - 1, log.last_index)
        if request.prev_index <= log.last_index:
            # Skip all entries of the conflicting term at once.
            last_possible_match = (
                log.first_index_of_term_at(request.prev_index) - 1
            )
        self.core.send(
            AppendReply,
            request.from_id,
            round_no=request.round_no,
            accepted=False,
            prev_index=request.prev_index,
            match_index=max(last_possible_match, self.core.commit_index),
        )

    def _reply(
        self,
        to_id: str,
        round_no: int,
        prev_index: int,
        match_index: int,
    ) -> None:
        self.core.send(
            AppendReply,
            to_id,
            round_no=round_no,
            accepted=True,
            prev_index=prev_index,
            match_index=match_index,
        )
