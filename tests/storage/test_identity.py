"""Tests of the identity of a data directory and of the real disk."""

from __future__ import annotations

import errno
import os
import random
from pathlib import Path

import pytest
from storage.fake_disk import FakeDisk

from apricotcart.consensus.api import Entry, Vote
from apricotcart.consensus.members import Members
from apricotcart.storage.failures import (
    DamagedStoreError,
    DirectoryInUseError,
    DiskFullError,
    IdentityMismatchError,
)
from apricotcart.storage.identity import Identity, open_identity
from apricotcart.storage.log_store import DurableLogStore, initialize_directory
from apricotcart.storage.real_disk import RealDisk

_IDENTITY = Identity(name='c1', incarnation='1')


def test_open_identity_empty_directory() -> None:
    """Guards against a host that lost its disk and votes under its old id."""
    lost = FakeDisk()
    initialize_directory(lost, _IDENTITY, Members(voters=['c1.1']))
    rng = random.Random(1)
    assert open_identity(lost, 'c1', rng).node_id == 'c1.1'
    recreated = open_identity(FakeDisk(), 'c1', rng)
    assert recreated.name == 'c1'
    assert recreated.node_id != 'c1.1'


def test_initialise_twice() -> None:
    """Guards against initializing a directory that is already in use."""
    disk = FakeDisk()
    initialize_directory(disk, _IDENTITY, Members(voters=['c1.1']))
    with pytest.raises(IdentityMismatchError):
        initialize_directory(disk, _IDENTITY, Members(voters=['c1.1']))
    with pytest.raises(IdentityMismatchError):
        open_identity(disk, 'c2', random.Random(1))


def test_open_identity_missing_file() -> None:
    """Guards against creating a new identity beside an existing log."""
    disk = FakeDisk()
    initialize_directory(disk, _IDENTITY, Members(voters=['c1.1']))
    DurableLogStore(disk).save_vote(Vote(term=1))
    disk.remove('identity')
    with pytest.raises(DamagedStoreError):
        open_identity(disk, 'c1', random.Random(1))


def test_real_disk_round_trip(tmp_path: Path) -> None:
    """Guards against a file layout that cannot be loaded again."""
    disk = RealDisk(tmp_path / 'data')
    store = DurableLogStore(disk, segment_bytes=100)
    store.load()
    store.save_vote(Vote(term=2, voted_for='c1.1'))
    entries = [Entry(index, 2, 1, bytes(50)) for index in range(1, 9)]
    for entry in entries:
        store.append([entry])
    store.truncate(7)
    disk.close()
    disk = RealDisk(tmp_path / 'data')
    loaded = DurableLogStore(disk).load()
    assert loaded.entries == entries[:6]
    assert loaded.vote == Vote(term=2, voted_for='c1.1')
    disk.close()


def test_real_disk_in_use(tmp_path: Path) -> None:
    """Guards against two processes writing to the same directory."""
    disk = RealDisk(tmp_path)
    with pytest.raises(DirectoryInUseError):
        RealDisk(tmp_path)
    disk.close()
    RealDisk(tmp_path).close()


def test_real_disk_full(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a bare OSError when the disk is full."""

    def fail_write(*_args: object) -> int:
        raise OSError(errno.ENOSPC, 'no space left on device')

    disk = RealDisk(tmp_path)
    monkeypatch.setattr(os, 'write', fail_write)
    with pytest.raises(DiskFullError):
        disk.append('vote', b'x')
    disk.close()
