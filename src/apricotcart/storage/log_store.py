"""Log store on a disk."""

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
    """Vote, snapshot and log segments in one data directory.

    After a failed write the object must not be used any more. A new one
    loads what is durable.
    """

    def __init__(self, disk: Disk, segment_bytes: int = SEGMENT_BYTES) -> None:
        """Keep the disk; `load` reads it."""
        self._disk = disk
        self._segments = Segments(disk, segment_bytes)
        self._vote_file = DocumentFile(disk, 'vote')
        self._snapshot_file = DocumentFile(disk, 'snapshot')

    def load(self) -> StoredState:
        """Read everything.

        Raises
        ------
        DamagedStoreError
            If durable data is damaged or missing.
        """
        self._remove_temporary()
        snapshot = self._load_snapshot()
        index = snapshot.index if snapshot else 0
        entries = self._segments.load(index)
        if snapshot is not None and not _continues(snapshot, entries):
            # The process stopped after it saved a leader's snapshot and
            # before it dropped the log that the snapshot replaces.
            self._segments.truncate(0)
            entries = []
        vote = self._load_vote(is_new=not entries and not index)
        return StoredState(vote=vote, snapshot=snapshot, entries=entries)

    def append(self, entries: Sequence[Entry]) -> None:
        """Append consecutive entries with one sync for all of them."""
        self._segments.append(entries)

    def truncate(self, from_index: int) -> None:
        """Drop the entries at ``from_index`` and after it."""
        self._segments.truncate(from_index)

    def save_vote(self, vote: Vote) -> None:
        """Replace the vote."""
        self._vote_file.write(vote.to_wire())

    def save_snapshot(self, snapshot: Snapshot, first_kept: int) -> None:
        """Replace the snapshot, then drop entries before ``first_kept``."""
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
        # An earlier process may have failed to sync the folder after the
        # rename, so the vote is made durable again before it counts.
        self._vote_file.write(fields)
        return Vote.from_wire(fields)

    def _remove_temporary(self) -> None:
        for name in self._disk.names():
            if name.endswith(TEMPORARY_SUFFIX):
                self._disk.remove(name)


def initialise(disk: Disk, identity: Identity, members: Members) -> None:
    """Write the directory of a first voter of a new cluster.

    The identity is written last, so that an interrupted call can be
    repeated.

    Raises
    ------
    IdentityMismatchError
        If the directory has an identity already.
    """
    held = read_identity(disk)
    if held is not None:
        raise IdentityMismatchError(f'the directory is of {held}')
    bootstrap(DurableLogStore(disk), members)
    write_identity(disk, identity)


def _continues(snapshot: Snapshot, entries: Sequence[Entry]) -> bool:
    if not entries:
        return True
    position = snapshot.index - entries[0].index
    if position < 0:
        return True
    if position >= len(entries):
        return False
    return entries[position].term == snapshot.term
