"""Tests of the subcommands against control hosts that are killed."""

from __future__ import annotations

import shutil
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from support.cluster import Cluster

from apricotcart.run import run

_EXAMPLE = Path(__file__).resolve().parents[2] / 'examples' / 'resources.ini'


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    """Run three control hosts."""
    hosts = Cluster(tmp_path / 'cluster', controls=3, entries=0)
    try:
        hosts.start()
        yield hosts
    finally:
        hosts.stop()


@pytest.fixture
def operate(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> Callable[..., int]:
    """Return a function that runs a subcommand against the cluster."""
    token = cluster.folder / 'operator.token'
    monkeypatch.setenv('APRICOTCART_CONTROL', cluster.api_urls())
    monkeypatch.setenv('APRICOTCART_TOKEN_FILE', str(token))
    return lambda *words: run([str(word) for word in words])


def test_commands_survive_leader_crash(
    cluster: Cluster,
    operate: Callable[..., int],
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a change lost or applied twice when the leader crashes."""
    resources = tmp_path / 'resources.ini'
    shutil.copy(_EXAMPLE, resources)
    assert operate('apply', resources) == 0
    assert operate('diff', resources) == 0
    resources.write_text(
        resources.read_text().replace('slots = 8', 'slots = 9')
    )
    leader = cluster.leader()
    cluster.children[leader].kill()
    assert operate('apply', resources) == 0
    assert operate('diff', resources) == 0
    assert cluster.leader() not in {'', leader}
    capsys.readouterr()
    assert operate('key', 'create', 'one', '--customer', 'caledonian') == 0
    assert operate('key', 'withdraw', 'one') == 0
    assert operate('get', 'key', 'one') == 0
    assert 'withdrawn: true' in capsys.readouterr().out
    assert operate('watch', '--count', '2') == 0
    assert len(capsys.readouterr().out.splitlines()) == 2


def test_commands_fail_without_quorum(
    cluster: Cluster, operate: Callable[..., int]
) -> None:
    """Guards against an exit code 0 for a change that was not committed."""
    for name in ('c1', 'c2'):
        cluster.children[name].kill()
    words = ('--timeout-s', '2')
    assert operate('apply', _EXAMPLE, *words) == 5
    assert operate('list', 'customer', *words) == 5
