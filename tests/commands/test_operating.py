"""Tests of the subcommands that connect to a control host."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from apricotcart.commands.watch import EventCursor

Operate = Callable[..., int]

_RESOURCES = """
[customer acme]
weight = 2
[pool press]
kind = service
max_queue = 10
"""


@pytest.fixture
def resources(tmp_path: Path) -> Path:
    """Return a resource file in INI format."""
    path = tmp_path / 'resources.ini'
    path.write_text(_RESOURCES)
    return path


def _apply_bodies(control: Any) -> list[Any]:
    return [body for _, path, body in control.calls if path == '/v1/apply']


def test_apply_then_diff(
    control: Any,
    operate: Operate,
    resources: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an apply that leaves a difference or is not idempotent."""
    assert operate('apply', resources, '--dry-run') == 0
    output = capsys.readouterr().out
    assert '+  "weight": 2' in output
    assert '+  "max_queue": 10' in output
    assert not _apply_bodies(control)
    assert operate('diff', resources) == 1
    assert operate('apply', resources) == 0
    assert control.resources['customer', 'acme']['spec'] == {'weight': 2}
    assert operate('diff', resources) == 0
    assert operate('apply', resources) == 0
    assert len(_apply_bodies(control)) == 1


def test_diff_ignores_defaults(
    control: Any, operate: Operate, resources: Path
) -> None:
    """Guards against a permanent difference because of a default."""
    operate('apply', resources)
    stored = control.resources['pool', 'press']['spec']
    assert 'endpoint_slots' in stored
    assert operate('diff', resources) == 0
    stored['endpoint_slots'] += 1
    assert operate('diff', resources) == 1


def test_apply_conflict(
    control: Any, operate: Operate, resources: Path, tmp_path: Path
) -> None:
    """Guards against overwriting another operator's change."""
    operate('apply', resources)
    spec = {'weight': 3}
    old = {'kind': 'customer', 'name': 'acme', 'version': 0, 'spec': spec}
    stale = tmp_path / 'stale.json'
    stale.write_text(json.dumps([old]))
    assert operate('apply', stale) == 4
    assert control.resources['customer', 'acme']['spec'] == {'weight': 2}


def test_apply_retry_keeps_op_id(
    control: Any, operate: Operate, resources: Path
) -> None:
    """Guards against a change applied twice after a lost answer."""
    read: Any = (200, {'items': []})
    control.faults = [read, read, 'close after', (200, {'revision': 1})]
    assert operate('apply', resources) == 0
    first, second = _apply_bodies(control)
    assert first == second
    assert first['op_id']


def test_apply_invalid_reports_faults(
    control: Any,
    operate: Operate,
    resources: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against omitting faults that the control host reports."""
    faults = [{'path': 'changes[0].spec.weight', 'message': 'must be above 0'}]
    answer = {'error': {'code': 'invalid', 'message': 'no', 'faults': faults}}
    read: Any = (200, {'items': []})
    control.faults = [read, read, (400, answer)]
    assert operate('apply', resources) == 3
    assert 'changes[0].spec.weight: must be above 0' in capsys.readouterr().err


@pytest.mark.parametrize('status', [421, 503])
def test_client_follows_leader(
    control: Any, operate: Operate, monkeypatch: Any, status: int
) -> None:
    """Guards against a command that fails at a host that is not the leader."""
    other = type(control)()
    answer = {'error': {'code': 'not_leader', 'leader': control.url}}
    other.faults = [(status, answer)]
    monkeypatch.setenv('APRICOTCART_CONTROL', other.url)
    assert operate('status') == 0
    assert len(other.calls) == 1
    assert len(control.calls) == 1
    other.server.shutdown()
    other.server.server_close()


def test_client_tries_every_address(
    control: Any, operate: Operate, monkeypatch: Any
) -> None:
    """Guards against a command that fails because one host is down."""
    addresses = f'http://127.0.0.1:1,{control.url}'
    monkeypatch.setenv('APRICOTCART_CONTROL', addresses)
    control.faults = ['close before', (503, {})]
    assert operate('status') == 0


def test_client_unreachable(
    operate: Operate, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a command that waits forever or exits with 0."""
    words = ('--control', 'http://127.0.0.1:1', '--timeout-s', '0.3')
    assert operate('status', *words) == 5
    assert 'no control host answered' in capsys.readouterr().err
    assert operate('key', 'create', 'k', '--customer', 'c', *words) == 5
    captured = capsys.readouterr()
    assert 'ack_' not in captured.out + captured.err


def test_client_wrong_token(
    operate: Operate, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an unclear failure when the token is rejected."""
    token = tmp_path / 'other'
    token.write_text('another-token')
    assert operate('status', '--token-file', token) == 1
    assert 'access_denied' in capsys.readouterr().err


@pytest.mark.parametrize(
    'words',
    [
        ('--control', 'localhost:1'),
        ('--token-file', '/missing'),
        ('--control', ''),
    ],
)
def test_client_bad_options(operate: Operate, words: tuple[str, ...]) -> None:
    """Guards against a traceback for invalid options."""
    assert operate('status', *words) == 3


def test_key_create_and_withdraw(
    control: Any, operate: Operate, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a stored secret, or a digest that cannot match."""
    assert operate('key', 'create', 'acme-1', '--customer', 'acme') == 0
    secret = capsys.readouterr().out.strip()
    spec = control.resources['key', 'acme-1']['spec']
    assert secret.startswith('ack_')
    assert spec['sha256'] == hashlib.sha256(secret.encode()).hexdigest()
    assert secret not in json.dumps(control.calls)
    assert operate('key', 'create', 'acme-1', '--customer', 'acme') == 4
    assert operate('key', 'withdraw', 'acme-1') == 0
    assert control.resources['key', 'acme-1']['spec']['withdrawn'] is True
    assert operate('key', 'withdraw', 'acme-1') == 0
    assert operate('key', 'withdraw', 'other') == 1


def test_get_list_delete(
    control: Any,
    operate: Operate,
    resources: Path,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against reads that differ from the stored resources."""
    operate('apply', resources)
    capsys.readouterr()
    assert operate('get', 'customer', 'acme', '--output', 'json') == 0
    assert json.loads(capsys.readouterr().out)['spec'] == {'weight': 2}
    assert operate('list', 'pool') == 0
    assert capsys.readouterr().out.startswith('press version=1 {')
    assert operate('list', 'pool', '--output', 'json') == 0
    listed = tmp_path / 'listed.json'
    listed.write_text(capsys.readouterr().out)
    assert operate('diff', listed) == 0
    assert operate('delete', 'pool', 'press', '--version', '1') == 0
    assert 'expected_version=1' in control.calls[-1][1]
    assert operate('get', 'pool', 'press') == 1


def test_members_text(
    operate: Operate, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a list of members that omits their roles."""
    assert operate('members') == 0
    out = capsys.readouterr().out
    assert 'leader: control-1' in out
    assert 'role: voter' in out
    assert 'term' not in out
    assert operate('members', '--remove', 'control-3.0') == 0
    assert 'removed: control-3.0' in capsys.readouterr().out


def test_watch_reconnects(
    control: Any, operate: Operate, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against events lost or repeated when the stream ends."""
    events = [
        _event(5, 'a'),
        _event(6, 'b'),
        _event(6, 'c'),
        _event(7, 'd'),
    ]
    control.streams = [events[:2], events[1:]]
    assert operate('watch', '--from', '4', '--count', '4') == 0
    lines = capsys.readouterr().out.splitlines()
    assert [json.loads(line) for line in lines] == events
    assert control.calls[1][1] == '/v1/watch?from=5'


def test_cursor_skips_earlier_revisions() -> None:
    """Guards against printing events before the requested revision."""
    cursor = EventCursor(4)
    assert cursor.format_if_new(_event(3, 'a')) is None
    assert cursor.format_if_new(_event(5, 'b')) is not None
    assert cursor.format_if_new(_event(4, 'c')) is None
    assert cursor.resume_from == 4


def test_cursor_prints_whole_snapshot() -> None:
    """Guards against a snapshot that lacks resources of earlier revisions."""
    cursor = EventCursor(1)
    for revision in (9, 2, 5):
        assert (
            cursor.format_if_new(_event(revision, 'a', 'snapshot')) is not None
        )
    assert cursor.resume_from == 9


def _event(revision: int, name: str, op: str = 'put') -> dict[str, Any]:
    return {'op': op, 'resource': {'revision': revision, 'name': name}}
