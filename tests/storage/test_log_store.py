"""Tests of the durable log store with lost, torn and damaged writes."""

from __future__ import annotations

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from storage.fake_disk import FakeDisk, PowerLossError

from apricotcart.consensus.api import Entry, Snapshot, Vote
from apricotcart.consensus.members import Members
from apricotcart.storage.failures import (
    DamagedStoreError,
    DiskError,
    DiskFullError,
)
from apricotcart.storage.frames import encode_batch
from apricotcart.storage.log_store import DurableLogStore

_FIRST_SEGMENT = 'log-00000000000000000001'
_MEMBERS = Members(voters=['a', 'b', 'c'])


def make_entries(first: int, count: int, term: int = 1) -> list[Entry]:
    """Return consecutive entries with distinct payloads."""
    return [
        Entry(index, term, 1, b'payload %d of %d' % (index, term))
        for index in range(first, first + count)
    ]


def make_snapshot(index: int, term: int) -> Snapshot:
    """Return a snapshot at an index."""
    blob = b'state %d' % index
    return Snapshot(index=index, term=term, members=_MEMBERS, blob=blob)


@pytest.fixture
def disk() -> FakeDisk:
    """Return an empty disk."""
    return FakeDisk(random.Random(1))


@pytest.fixture
def store(disk: FakeDisk) -> DurableLogStore:
    """Return a store with a vote and six entries in three batches."""
    opened = DurableLogStore(disk)
    opened.load()
    opened.save_vote(Vote(term=1, voted_for='a'))
    for first in (1, 3, 5):
        opened.append(make_entries(first, 2))
    return opened


def test_append_one_sync(disk: FakeDisk, store: DurableLogStore) -> None:
    """Guards against one sync per entry instead of one per batch."""
    before = disk.sync_count
    store.append(make_entries(7, 100))
    assert disk.sync_count == before + 1


def test_append_survives_crash(disk: FakeDisk, store: DurableLogStore) -> None:
    """Guards against acknowledging entries before they are synced."""
    disk.crash()
    loaded = DurableLogStore(disk).load()
    assert loaded.entries == make_entries(1, 6)
    assert loaded.vote == Vote(term=1, voted_for='a')


@pytest.mark.parametrize('padded', [False, True])
def test_load_torn_tail(disk: FakeDisk, padded: bool) -> None:
    """Guards against refusing to start after a torn last write.

    The last batch is truncated at each byte, with and without zero padding.
    """
    complete = encode_batch(make_entries(1, 3))
    last = encode_batch(make_entries(4, 2))
    for kept_count, _ in enumerate(last):
        torn = last[:kept_count].ljust(len(last) if padded else 0, b'\0')
        disk = FakeDisk()
        DurableLogStore(disk).save_vote(Vote(term=1))
        disk.append(_FIRST_SEGMENT, complete + torn)
        found = DurableLogStore(disk).load().entries
        assert found in (make_entries(1, 3), make_entries(1, 5))
        assert DurableLogStore(disk).load().entries == found


def test_load_flipped_bit(disk: FakeDisk, store: DurableLogStore) -> None:
    """Guards against treating damaged acknowledged entries as a torn tail.

    The end mark of the last batch is excluded, since it carries no data.
    """
    name = _FIRST_SEGMENT
    blob = disk.read(name)
    for position, _ in enumerate(blob[:-4]):
        disk.flip_bit(name, position)
        with pytest.raises(DamagedStoreError):
            DurableLogStore(disk).load()
        disk.files[name].contents = blob


@pytest.mark.parametrize('name', ['vote', 'snapshot'])
def test_load_damaged_document(
    disk: FakeDisk, store: DurableLogStore, name: str
) -> None:
    """Guards against starting from a damaged vote or snapshot."""
    store.save_snapshot(make_snapshot(3, 1), 4)
    disk.flip_bit(name, len(disk.read(name)) - 1)
    with pytest.raises(DamagedStoreError):
        DurableLogStore(disk).load()


@pytest.mark.parametrize('name', ['vote', _FIRST_SEGMENT])
def test_load_missing_file(disk: FakeDisk, name: str) -> None:
    """Guards against voting twice in a term, and against a gap in the log."""
    store = DurableLogStore(disk, segment_bytes=1)
    store.load()
    store.save_vote(Vote(term=1))
    store.append(make_entries(1, 2))
    store.append(make_entries(3, 2))
    disk.remove(name)
    with pytest.raises(DamagedStoreError):
        DurableLogStore(disk).load()


def test_load_after_failed_sync(disk: FakeDisk, store: DurableLogStore) -> None:
    """Guards against relying on cached data that was never written to disk.

    After a failed sync the kernel reports success for the next one, so a
    restarted process must rewrite the data before it relies on it.
    """
    disk.fail_syncs = True
    with pytest.raises(DiskError):
        store.append(make_entries(7, 1))
    disk.fail_syncs = False
    restarted = DurableLogStore(disk)
    loaded = restarted.load().entries
    restarted.append(make_entries(len(loaded) + 1, 1))
    disk.crash()
    assert DurableLogStore(disk).load().entries[: len(loaded)] == loaded


@pytest.mark.parametrize('seed', range(4))
def test_load_vote_after_failed_sync(seed: int) -> None:
    """Guards against relying on a vote that is not durable after a restart."""
    disk = FakeDisk(random.Random(seed))
    DurableLogStore(disk).save_vote(Vote(term=1))
    disk.fail_directory_syncs = True
    with pytest.raises(DiskError):
        DurableLogStore(disk).save_vote(Vote(term=2))
    disk.clear_faults()
    vote = DurableLogStore(disk).load().vote
    disk.crash()
    assert DurableLogStore(disk).load().vote == vote


def test_append_full_disk(disk: FakeDisk, store: DurableLogStore) -> None:
    """Guards against a bare OSError and a damaged log on a full disk."""
    disk.capacity = disk.size() + 20
    with pytest.raises(DiskFullError):
        store.append(make_entries(7, 1))
    disk.crash()
    assert DurableLogStore(disk).load().entries == make_entries(1, 6)


def test_install_interrupted(disk: FakeDisk, store: DurableLogStore) -> None:
    """Guards against keeping log entries that a snapshot has replaced.

    The host loses power between saving the snapshot and deleting the log.
    """
    disk.calls_until_power_loss = 4
    with pytest.raises(PowerLossError):
        store.save_snapshot(make_snapshot(5, 2), 7)
    disk.crash()
    assert not DurableLogStore(disk).load().entries


class LogStoreMachine(RuleBasedStateMachine):
    """Compares the store with a list of entries across crashes."""

    def __init__(self) -> None:
        super().__init__()
        self.disk = FakeDisk(random.Random(2))
        self.vote = Vote(term=1)
        self.entries: list[Entry] = []
        self.snapshot_index = 0
        self.snapshot_term = 0
        self.store = DurableLogStore(self.disk, segment_bytes=150)
        self.store.load()
        self.store.save_vote(self.vote)

    @property
    def last_index(self) -> int:
        if self.entries:
            return self.entries[-1].index
        return self.snapshot_index

    @rule(count=st.integers(1, 4))
    def append(self, count: int) -> None:
        added = make_entries(self.last_index + 1, count, self.vote.term)
        self.store.append(added)
        self.entries.extend(added)

    @rule()
    def save_vote(self) -> None:
        self.vote = Vote(term=self.vote.term + 1, voted_for='b')
        self.store.save_vote(self.vote)

    @precondition(lambda machine: machine.entries)
    @rule(position=st.integers(0, 30))
    def truncate(self, position: int) -> None:
        kept_count = position % len(self.entries)
        self.store.truncate(self.entries[kept_count].index)
        self.entries = self.entries[:kept_count]

    @precondition(lambda machine: machine.entries)
    @rule(position=st.integers(0, 30))
    def compact(self, position: int) -> None:
        last = self.entries[position % len(self.entries)]
        self.store.save_snapshot(
            make_snapshot(last.index, last.term), last.index + 1
        )
        self._reset_to(last.index, last.term)

    @rule(ahead=st.integers(1, 9))
    def install(self, ahead: int) -> None:
        index = self.last_index + ahead
        self.store.save_snapshot(make_snapshot(index, 9), index + 1)
        self._reset_to(index, 9)

    @rule(calls=st.integers(0, 5), count=st.integers(1, 4))
    def lose_power_in_append(self, calls: int, count: int) -> None:
        added = make_entries(self.last_index + 1, count, self.vote.term)
        self.disk.calls_until_power_loss = calls
        try:
            self.store.append(added)
        except PowerLossError:
            self._restart([self.entries, self.entries + added])
        else:
            self.disk.calls_until_power_loss = None
            self.entries.extend(added)

    @precondition(lambda machine: machine.entries)
    @rule(calls=st.integers(0, 9), position=st.integers(0, 30))
    def lose_power_in_truncate(self, calls: int, position: int) -> None:
        kept_count = position % len(self.entries)
        self.disk.calls_until_power_loss = calls
        try:
            self.store.truncate(self.entries[kept_count].index)
        except PowerLossError:
            lengths = range(kept_count, len(self.entries) + 1)
            self._restart([self.entries[:length] for length in lengths])
        else:
            self.disk.calls_until_power_loss = None
            self.entries = self.entries[:kept_count]

    @rule()
    def crash(self) -> None:
        self._restart([self.entries])

    @invariant()
    def last_index_agrees(self) -> None:
        if self.entries:
            assert self.store._segments.last_index == self.last_index

    def _reset_to(self, index: int, term: int) -> None:
        self.snapshot_index = index
        self.snapshot_term = term
        self.entries = [entry for entry in self.entries if entry.index > index]

    def _restart(self, allowed: list[list[Entry]]) -> None:
        self.disk.crash()
        self.store = DurableLogStore(self.disk, segment_bytes=150)
        loaded = self.store.load()
        found = [
            entry
            for entry in loaded.entries
            if entry.index > self.snapshot_index
        ]
        assert found in allowed
        assert loaded.vote == self.vote
        if self.snapshot_index:
            assert loaded.snapshot is not None
            assert loaded.snapshot.index == self.snapshot_index
            assert loaded.snapshot.blob == b'state %d' % self.snapshot_index
        self.entries = found


TestLogStoreMachine = LogStoreMachine.TestCase
