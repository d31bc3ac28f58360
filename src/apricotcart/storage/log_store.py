"""Log store that keeps its data on a disk."""

from __future__ import annotations

from collections.abc import Sequence

from apricotcart.consensus.api import (
    Entry,
    LogStore,
    Snapshot,
    StoredState,
    Vote,
)
from apricotcart.consensus.members import Members
from apricotcart.consensus.node import bootstrap
from apricotcart.storage.disk import TEMPORARY_SUFFIX, Disk
from apricotcart.storage.documents import DocumentFile
from apricotcart.storage.failures import (
    DamagedStoreError,
    IdentityMismatchError,
)
from apricotcart.storage.identity import (
    Identity,
    read_identity,
    write_identity,
)
from apricotcart.storage.segments import SEGMENT_BYTES, Segments


class DurableLogStore(LogStore):
    """Stores the vote, the snapshot and the log segments in a data directory.

    After a failed write, `load` must be called before any other method.
    """

    def __init__(self, disk: Disk, segment_bytes: int = SEGMENT_BYTES) -> None:
        """Initialize the store without reading the disk; see `load`."""
        self._disk = disk
        self._segments = Segments(disk, segment_bytes)
        self._vote_file = DocumentFile(disk, 'vote')
        self._snapshot_file = DocumentFile(disk, 'snapshot')

    def load(self) -> StoredState:
        """Return the durable state.

        Raises
        ------
        DamagedStoreError
            If durable data is damaged or missing.
        """
        self._remove_temporary_files()
        snapshot = self._load_snapshot()
        index = snapshot.index if snapshot else 0
        entries = self._segments.load(index)
        if snapshot is not None and not _log_matches_snapshot(
            snapshot, entries
        ):
            # The process stopped after saving a snapshot from the leader
            # and before deleting the log that the snapshot replaces.
            self._segments.truncate(0)
            entries = []
        vote = self._load_vote(is_new=not entries and not index)
        return StoredState(vote=vote, snapshot=snapshot, entries=entries)

    def append(self, entries: Sequence[Entry]) -> None:
        """Append consecutive entries with a single sync."""
        self._segments.append(entries)

    def truncate(self, from_index: int) -> None:
        """Delete the entries from ``from_index`` on."""
        self._segments.truncate(from_index)

    def save_vote(self, vote: Vote) -> None:
        """Replace the vote."""
        self._vote_file.write(vote.to_wire())

    def save_snapshot(self, snapshot: Snapshot, first_kept: int) -> None:
        """Replace the snapshot, then delete entries before ``first_kept``."""
        self._snapshot_file.write(
            {
                'index': snapshot.index,
                'term': snapshot.term,
                'members': snapshot.members.to_wire(),
                'blob': snapshot.blob,
            }
        )
        self._segments.drop_before(first_kept)

    def _load_snapshot(self) -> Snapshot | None:
        fields = self._snapshot_file.read()
        if fields is None:
            return None
        return Snapshot(
            index=fields['index'],
            term=fields['term'],
            members=Members.from_wire(fields['members']),
            blob=fields['blob'],
        )

    def _load_vote(self, *, is_new: bool) -> Vote:
        fields = self._vote_file.read()
        if fields is None:
            if is_new:
                return Vote()
            raise DamagedStoreError('the vote file is missing')
        # An earlier process may have failed to sync the directory after the
        # rename, so the vote is written again before it is relied on.
        self._vote_file.write(fields)
        return Vote.from_wire(fields)

    def _remove_temporary_files(self) -> None:
        for name in self._disk.file_names():
            if name.endswith(TEMPORARY_SUFFIX):
                self._disk.remove(name)


def initialize_directory(
    disk: Disk, identity: Identity, members: Members
) -> None:
    """Initialize the data directory of an initial voter of a new cluster.

    The identity is written last, so that an interrupted call can be retried.

    Raises
    ------
    IdentityMismatchError
        If the directory already has an identity.
    """
    stored = read_identity(disk)
    if stored is not None:
        raise IdentityMismatchError(
            f'the data directory already belongs to {stored.node_id}'
        )
    bootstrap(DurableLogStore(disk), members)
    write_identity(disk, identity)


def _log_matches_snapshot(snapshot: Snapshot, entries: Sequence[Entry]) -> bool:
    if not entries:
        return True
    position = snapshot.index - entries[0].index
    if position < 0:
        return True
    if position >= len(entries):
        return False
    return entries[position].term == snapshot.term
