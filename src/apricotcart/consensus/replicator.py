"""Replication of the leader's log and snapshots to the other members."""

from __future__ import annotations

from typing import Any

from apricotcart.consensus.config import MAX_BATCH_BYTES, MAX_BATCH_ENTRIES
from apricotcart.consensus.core import Core
from apricotcart.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)
from apricotcart.consensus.progress import Progress
from apricotcart.consensus.quorum_contact import QuorumContact


class Replicator:
    """Sends entries and snapshots to each peer and tracks its progress."""

    def __init__(self, core: Core, contact: QuorumContact) -> None:
        """Initialize the progress of every peer at the end of the log."""
        self.core = core
        self.contact = contact
        self.progress: dict[str, Progress] = {}
        self.track_members()

    def track_members(self) -> None:
        """Track exactly the current members."""
        peers = self.core.peer_ids
        next_index = self.core.log.last_index + 1
        self.progress = {
            peer: self.progress.get(peer) or Progress(next_index)
            for peer in peers
        }

    def send_heartbeats(self) -> None:
        """Send a message of the current round to every peer."""
        for peer, progress in self.progress.items():
            if progress.snapshot is None:
                self._send_append(peer, progress, [])
            else:
                self._send_chunk(peer, progress)

    def replicate(self) -> None:
        """Send pending entries to every peer that is not paused."""
        for peer, progress in self.progress.items():
            self._replicate_to(peer, progress)

    def on_append_reply(self, reply: AppendReply) -> None:
        """Record a reply and send further entries."""
        progress = self.progress.get(reply.from_id)
        if progress is None:
            return
        self.contact.acknowledge(reply.from_id, reply.round_no)
        if reply.accepted:
            progress.record_accepted(reply.match_index)
        elif not progress.record_rejected(reply.prev_index, reply.match_index):
            return
        self._replicate_to(reply.from_id, progress)

    def on_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Send the next chunk that the follower needs."""
        progress = self.progress.get(reply.from_id)
        if progress is None:
            return
        self.contact.acknowledge(reply.from_id, reply.round_no)
        snapshot = progress.snapshot
        if snapshot is None or snapshot.index != reply.index:
            return
        if reply.offset != progress.snapshot_offset:
            progress.snapshot_offset = reply.offset
            self._send_chunk(reply.from_id, progress)

    def quorum_match_index(self) -> int:
        """Return the index of the last entry that a quorum has."""
        core = self.core
        own_id = core.cfg.node_id
        members = core.log.history.members
        match_indexes = sorted(
            core.log.last_index
            if node_id == own_id
            else self.progress[node_id].match_index
            for node_id in members.voters
        )
        return match_indexes[-members.quorum]

    def _replicate_to(self, peer: str, progress: Progress) -> None:
        last_index = self.core.log.last_index
        while progress.next_index <= last_index and not progress.is_paused:
            self._send_append(
                peer, progress, self._next_batch(progress.next_index)
            )

    def _next_batch(self, first: int) -> list[list[Any]]:
        entries = self.core.log.entries_between(
            first, first + MAX_BATCH_ENTRIES - 1
        )
        batch: list[list[Any]] = []
        size = 0
        for entry in entries:
            size += len(entry.payload)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append([entry.term, entry.kind, entry.payload])
        return batch

    def _send_append(
        self,
        peer: str,
        progress: Progress,
        batch: list[list[Any]],
    ) -> None:
        core = self.core
        prev_index = progress.next_index - 1
        prev_term = core.log.term_at(prev_index)
        if prev_term is None:
            self._start_snapshot(peer, progress)
            return
        core.send(
            AppendRequest,
            peer,
            round_no=self.contact.round_no,
            prev_index=prev_index,
            prev_term=prev_term,
            commit_index=core.commit_index,
            entries=batch,
        )
        if batch:
            progress.record_sent(prev_index + len(batch))

    def _start_snapshot(self, peer: str, progress: Progress) -> None:
        snapshot = self.core.log.snapshot
        if snapshot is not None:
            progress.start_snapshot(snapshot)
            self._send_chunk(peer, progress)

    def _send_chunk(self, peer: str, progress: Progress) -> None:
        snapshot = progress.snapshot
        if snapshot is None:
            return
        end = progress.snapshot_offset + self.core.cfg.chunk_bytes
        self.core.send(
            SnapshotChunk,
            peer,
            round_no=self.contact.round_no,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            members=snapshot.members.to_wire(),
            offset=progress.snapshot_offset,
            size=len(snapshot.blob),
            chunk=snapshot.blob[progress.snapshot_offset : end],
        )
