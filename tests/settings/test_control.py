"""Tests of the control host's settings."""

from __future__ import annotations

from pathlib import Path

import pytest

from apricotcart.errors.tree import SettingsError
from apricotcart.settings.control import ControlConfig

_VALID = """
[host]
name = control-1
zone = scot-central-a
address = 127.0.0.1
[peers]
listen = tcp://127.0.0.1:7100
control-1 = tcp://127.0.0.1:7100
control-2 = tcp://127.0.0.1:7101
[rpc]
listen = tcp://127.0.0.1:7000
[data]
folder = data
[cluster]
name = sealdesk
secret_file = secret
[operators]
token_file = secret
"""


def _write(folder: Path, text: str) -> str:
    (folder / 'secret').write_text('0123456789abcdef')
    path = folder / 'control.ini'
    path.write_text(text)
    return str(path)


def test_control_values(tmp_path: Path) -> None:
    """Guards against peers or paths that differ from those in the file."""
    cfg = ControlConfig.from_file(_write(tmp_path, _VALID))
    assert cfg.peers.listen == 'tcp://127.0.0.1:7100'
    assert cfg.peers.voters == {
        'control-1': 'tcp://127.0.0.1:7100',
        'control-2': 'tcp://127.0.0.1:7101',
    }
    assert cfg.data.folder == str(tmp_path / 'data')
    assert cfg.platform.url is None
    assert cfg.timing.send_timeout_s == 1
    assert cfg.timing.snapshot_entries == 10000
    assert cfg.operators.read_token() == b'0123456789abcdef'


@pytest.mark.parametrize(
    ('old', 'new', 'location'),
    [
        ('7101', '7100', ('peers', 'control-2')),
        ('control-2 = tcp', 'control-2 = tls+tcp', ('peers', 'control-2')),
        ('127.0.0.1:7101', '127.0.0.1', ('peers', 'control-2')),
        ('listen = tcp://127.0.0.1:7000', '', ('rpc', 'listen')),
        (':7000', ':7100', ('rpc', 'listen')),
        (
            '[rpc]',
            '[timing]\nsend_timeout_s = 2\n[rpc]',
            ('timing', 'send_timeout_s'),
        ),
        ('[rpc]', '[timing]\nlease_s = 1\n[rpc]', ('timing', 'lease_s')),
        ('[rpc]', '[metrics]\nport = 8081\n[rpc]', ('metrics', 'port')),
        ('[rpc]\nlisten = tcp', '[rpc]\nlisten = tls+tcp', ('rpc', 'listen')),
    ],
)
def test_control_faults(
    tmp_path: Path, old: str, new: str, location: tuple[str, str]
) -> None:
    """Guards against a start with settings that cannot form a cluster."""
    with pytest.raises(SettingsError) as caught:
        ControlConfig.from_file(_write(tmp_path, _VALID.replace(old, new)))
    faults = caught.value.context['faults']
    assert [(fault['section'], fault['key']) for fault in faults] == [location]
