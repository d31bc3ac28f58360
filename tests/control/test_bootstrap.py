"""Tests of the bootstrap of the first voters."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from apricotcart.control.bootstrap import bootstrap_voter
from apricotcart.errors.tree import (
    SettingsError,
    StorageError,
    VersionConflictError,
)
from apricotcart.storage.identity import read_identity
from apricotcart.storage.log_store import DurableLogStore
from apricotcart.storage.real_disk import RealDisk

VOTERS = ['a.0', 'b.0', 'c.0']


def settings(folder: Path, name: str = 'a') -> Any:
    """Return the settings of one of three hosts."""
    return SimpleNamespace(
        host=SimpleNamespace(name=name),
        peers=SimpleNamespace(voters={'a': '1', 'b': '2', 'c': '3'}),
        data=SimpleNamespace(folder=str(folder)),
    )


def test_bootstrap_once(tmp_path: Path) -> None:
    """Guards against a second bootstrap that deletes the votes of a voter."""
    folder = tmp_path / 'data'
    assert bootstrap_voter(settings(folder)) == VOTERS
    with pytest.raises(VersionConflictError):
        bootstrap_voter(settings(folder))
    disk = RealDisk(folder)
    identity = read_identity(disk)
    snapshot = DurableLogStore(disk).load().snapshot
    disk.close()
    assert identity and identity.node_id == 'a.0'
    assert snapshot and snapshot.members.voters == VOTERS


def test_bootstrap_unlisted(tmp_path: Path) -> None:
    """Guards against a voter that is not in the list of voters."""
    folder = tmp_path / 'data'
    with pytest.raises(SettingsError):
        bootstrap_voter(settings(folder, 'd'))
    assert not folder.exists()


def test_bootstrap_foreign_files(tmp_path: Path) -> None:
    """Guards against a bootstrap in a folder with foreign files."""
    (tmp_path / 'notes').touch()
    with pytest.raises(VersionConflictError):
        bootstrap_voter(settings(tmp_path))
    assert [path.name for path in tmp_path.iterdir()] == ['notes']


def test_bootstrap_beside_program(tmp_path: Path) -> None:
    """Guards against an error because of the unpacked program."""
    (tmp_path / 'runtime').mkdir()
    assert bootstrap_voter(settings(tmp_path)) == VOTERS


def test_bootstrap_in_use(tmp_path: Path) -> None:
    """Guards against two processes that write to one directory."""
    disk = RealDisk(tmp_path)
    with pytest.raises(StorageError):
        bootstrap_voter(settings(tmp_path))
    disk.close()
