"""Sends the leader's log and snapshots to the other members."""

from __future__ import annotations

from typing import Any

from apricotcart.consensus.config import MAX_BATCH_BYTES, MAX_BATCH_ENTRIES
from apricotcart.consensus.contact import QuorumContact
from apricotcart.consensus.core import Core
from apricotcart.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)
from apricotcart.consensus.progress import Progress


class Replicator:
    """Keeps the progress of every peer of one leader."""

    def __init__(self, core: Core, contact: QuorumContact) -> None:
        """Start to probe every peer after the last entry."""
        self.core = core
        self.contact = contact
        self.progress: dict[str, Progress] = {}
        self.follow_members()

    def follow_members(self) -> None:
        """Track the members in force and no others."""
        peers = self.core.peers
        upcoming = self.core.log.last_index + 1
        self.progress = {
            peer: self.progress.get(peer) or Progress(upcoming)
            for peer in peers
        }

    def heartbeat(self) -> None:
        """Send every peer one message of the current round."""
        for peer, progress in self.progress.items():
            if progress.snapshot is None:
                self._send_append(peer, progress, [])
            else:
                self._send_chunk(peer, progress)

    def replicate(self) -> None:
        """Send every peer the entries that it may get now."""
        for peer, progress in self.progress.items():
            self._replicate_to(peer, progress)

    def on_append_reply(self, reply: AppendReply) -> None:
        """Note a follower's answer and go on sending."""
        progress = self.progress.get(reply.from_id)
        if progress is None:
            return
        self.contact.acknowledge(reply.from_id, reply.round_no)
        if reply.accepted:
            progress.accepted(reply.match_index)
        elif not progress.rejected(reply.prev_index, reply.match_index):
            return
        self._replicate_to(reply.from_id, progress)

    def on_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Send the chunk that the follower needs."""
        progress = self.progress.get(reply.from_id)
        if progress is None:
            return
        self.contact.acknowledge(reply.from_id, reply.round_no)
        snapshot = progress.snapshot
        if snapshot is None or snapshot.index != reply.index:
            return
        if reply.offset != progress.offset:
            progress.offset = reply.offset
            self._send_chunk(reply.from_id, progress)

    def quorum_match(self) -> int:
        """Give the last entry that a quorum holds."""
        core = self.core
        own_id = core.cfg.node_id
        members = core.log.history.members
        matches = sorted(
            core.log.last_index
            if node_id == own_id
            else self.progress[node_id].match
            for node_id in members.voters
        )
        return matches[-members.quorum]

    def _replicate_to(self, peer: str, progress: Progress) -> None:
        last_index = self.core.log.last_index
        while progress.upcoming <= last_index and not progress.is_paused:
            self._send_append(peer, progress, self._batch(progress.upcoming))

    def _batch(self, first: int) -> list[list[Any]]:
        entries = self.core.log.between(first, first + MAX_BATCH_ENTRIES - 1)
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
        prev_index = progress.upcoming - 1
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
            progress.sent(prev_index + len(batch))

    def _start_snapshot(self, peer: str, progress: Progress) -> None:
        snapshot = self.core.log.snapshot
        if snapshot is not None:
            progress.start_snapshot(snapshot)
            self._send_chunk(peer, progress)

    def _send_chunk(self, peer: str, progress: Progress) -> None:
        snapshot = progress.snapshot
        if snapshot is None:
            return
        end = progress.offset + self.core.cfg.chunk_bytes
        self.core.send(
            SnapshotChunk,
            peer,
            round_no=self.contact.round_no,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            members=snapshot.members.to_wire(),
            offset=progress.offset,
            size=len(snapshot.blob),
            chunk=snapshot.blob[progress.offset : end],
        )
