"""Tests of the subcommands that need no control host."""

from __future__ import annotations

import sys
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

from apricotcart.commands.registry import COMMANDS
from apricotcart.run import build_parser, run
from apricotcart.storage.identity import Identity, read_identity
from apricotcart.storage.log_store import DurableLogStore
from apricotcart.storage.real_disk import RealDisk

_CONTROL = """
[host]
name = control-1
zone = a
address = 127.0.0.1
[peers]
listen = tcp://127.0.0.1:7100
control-1 = tcp://127.0.0.1:7100
[rpc]
listen = tcp://127.0.0.1:7000
[data]
folder = data
[cluster]
name = sealdesk
secret_file = secret
[operators]
token_file = secret
[log]
file = log
"""


@pytest.fixture
def settings(tmp_path: Path) -> Path:
    """Return a control host's settings file."""
    (tmp_path / 'secret').write_text('0123456789abcdef')
    path = tmp_path / 'control.ini'
    path.write_text(_CONTROL)
    return path


@pytest.mark.parametrize('command', [command.name for command in COMMANDS])
def test_help_names_exit_codes(
    command: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a subcommand whose help fails or omits the exit codes."""
    with pytest.raises(SystemExit) as caught:
        run([command, '--help'])
    assert caught.value.code == 0
    assert 'exit codes: 0 ok' in capsys.readouterr().out


@pytest.mark.parametrize('words', [[], ['nonsense'], ['get', 'colour', 'x']])
def test_usage_exits_2(words: list[str]) -> None:
    """Guards against wrong usage reported as another failure."""
    with pytest.raises(SystemExit) as caught:
        run(words)
    assert caught.value.code == 2


def test_check_settings(
    settings: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a check that accepts settings that a server rejects."""
    assert run(['check', 'control', str(settings)]) == 0
    assert run(['check', 'entry', str(settings)]) == 3
    lines = capsys.readouterr().err.splitlines()
    assert f'{settings} [peers]: is not a known section' in lines
    assert f'{settings} [control] addresses: is missing' in lines


@pytest.mark.parametrize(
    ('text', 'faults'),
    [
        ('[customer a]\nweight = 1', 0),
        ('[{"kind": "customer", "name": "a", "spec": {"weight": 1}}]', 0),
        ('[{"kind": "customer", "name": "a", "spec": {"wait": 1}}]', 2),
        ('[class a]\ntier = 9\nfirst_token_s = "x"\ntotal_s = 1', 4),
        ('{"resources": []}', 0),
        ('{"resources": 3}', 1),
        ('{"resources"', 1),
        ('[customer a]\n[customer  a]\n[colour b]', 4),
        ('[customer]\nweight = 1', 1),
        ('[{"kind": "x", "name": 1, "spec": 2, "version": "a", "b": 1}]', 4),
        ('[{"kind": "pool", "name": "a", "spec": 2}]', 1),
        ('[{}, 3]', 3),
        ('weight = 1', 1),
    ],
)
def test_check_resources(
    tmp_path: Path,
    text: str,
    faults: int,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a check that reports only some faults of a file."""
    path = tmp_path / 'resources'
    path.write_text(text)
    assert run(['check', 'resources', str(path)]) == 3 * bool(faults)
    lines = capsys.readouterr().err.splitlines()
    assert len([line for line in lines if str(path) in line]) == faults


def test_init_twice_fails(settings: Path, tmp_path: Path) -> None:
    """Guards against a host that is initialized twice."""
    assert run(['init', '--settings', str(settings)]) == 0
    disk = RealDisk(tmp_path / 'data')
    identity = read_identity(disk)
    stored = DurableLogStore(disk).load()
    disk.close()
    assert identity == Identity(name='control-1', incarnation='0')
    assert stored.snapshot is not None
    assert stored.snapshot.members.voters == ['control-1.0']
    assert run(['init', '--settings', str(settings)]) == 4


def test_init_fails_on_used_folder(settings: Path, tmp_path: Path) -> None:
    """Guards against a new identity in a folder with an existing log."""
    (tmp_path / 'data').mkdir()
    (tmp_path / 'data' / 'segment-1').write_text('x')
    assert run(['init', '--settings', str(settings)]) == 4


def test_init_allows_unpacked_program(settings: Path, tmp_path: Path) -> None:
    """Guards against init failing in the folder of an unpacked program."""
    (tmp_path / 'data' / 'runtime' / 'version').mkdir(parents=True)
    assert run(['init', '--settings', str(settings)]) == 0


def test_init_fails_for_unlisted_voter(settings: Path) -> None:
    """Guards against an initial voter that [peers] does not list."""
    settings.write_text(_CONTROL.replace('name = control-1', 'name = other'))
    assert run(['init', '--settings', str(settings)]) == 3


def test_version(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a program that does not print its version."""
    assert run(['version']) == 0
    assert capsys.readouterr().out.startswith('apricotcart ')


def test_trace_missing_file(tmp_path: Path) -> None:
    """Guards against a traceback for a missing file."""
    assert run(['trace', '--file', str(tmp_path / 'no'), '0' * 32]) == 1


class ServerStandin:
    """Server that stops immediately, with an exit code or an exception."""

    outcome: Any = 0

    @classmethod
    def from_config(cls, cfg: Any) -> ServerStandin:
        """Check that the settings are those of the file."""
        assert cfg.host.name == 'control-1'
        return cls()

    def run(self) -> int:
        """Return or raise the scripted outcome."""
        if self.outcome == 'raise':
            raise ValueError('secret words')
        return int(self.outcome)


@pytest.mark.parametrize(('outcome', 'expected'), [(0, 0), ('raise', 1)])
def test_control_runs_server(
    settings: Path,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    outcome: Any,
    expected: int,
) -> None:
    """Guards against losing the server's exit code or failure."""

    monkeypatch.setattr(ServerStandin, 'outcome', outcome)
    module = ModuleType('apricotcart.control.server')
    module.__dict__['ControlServer'] = ServerStandin
    monkeypatch.setitem(sys.modules, module.__name__, module)
    assert run(['control', '--settings', str(settings)]) == expected
    log = tmp_path / 'log'
    written = log.read_text() if log.exists() else ''
    assert ('unexpected error' in written) == (outcome == 'raise')
    assert 'secret words' not in written


def test_every_command_is_listed() -> None:
    """Guards against a subcommand that the general help omits."""
    text = build_parser().format_help()
    for command in COMMANDS:
        assert f'    {command.name} ' in text
