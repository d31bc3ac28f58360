"""Guards against a host that votes without the log it voted on before."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from storage.fake_disk import FakeDisk

from apricotcart.coordinator.formation import load_or_create_identity
from apricotcart.storage.log_store import DurableLogStore

_SEEDS = ('10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80')


def _cfg(address: str, *, first_start: bool) -> Any:
    return SimpleNamespace(
        host=SimpleNamespace(address=address, first_start=first_start),
        links=SimpleNamespace(seeds=_SEEDS),
    )


def _node_id(disk: FakeDisk, address: str, *, first_start: bool) -> str:
    cfg = _cfg(address, first_start=first_start)
    return load_or_create_identity(disk, cfg, random.Random(1)).node_id


def _voters(disk: FakeDisk) -> list[str]:
    snapshot = DurableLogStore(disk).load().snapshot
    return snapshot.members.voters if snapshot else []


def test_seeds_bootstrap_the_same_log() -> None:
    disks = [FakeDisk() for _ in _SEEDS]
    for disk, seed in zip(disks, _SEEDS, strict=True):
        address = seed.partition(':')[0]
        assert _node_id(disk, address, first_start=True) == f'{address}.0'
    assert len({tuple(_voters(disk)) for disk in disks}) == 1
    assert _voters(disks[0]) == ['10.0.0.1.0', '10.0.0.2.0', '10.0.0.3.0']


def test_other_host_joins_at_the_first_start() -> None:
    disk = FakeDisk()
    assert _node_id(disk, '10.0.0.9', first_start=True) != '10.0.0.9.0'
    assert not _voters(disk)


def test_wiped_seed_creates_a_new_identity() -> None:
    disk = FakeDisk()
    assert _node_id(disk, '10.0.0.1', first_start=False) != '10.0.0.1.0'
    assert not _voters(disk)


def test_restart_keeps_the_identity() -> None:
    disk = FakeDisk()
    _node_id(disk, '10.0.0.1', first_start=True)
    disk.crash()
    assert _node_id(disk, '10.0.0.1', first_start=False) == '10.0.0.1.0'
    assert _node_id(disk, '10.0.0.1', first_start=True) == '10.0.0.1.0'
