"""Tests of the entry host's settings."""

from __future__ import annotations

from pathlib import Path

import pytest

from apricotcart.errors.tree import SettingsError
from apricotcart.settings.entry import EntryConfig

_VALID = """
[host]
name = entry-1
zone = scot-central-a
address = 127.0.0.1
port = 8080
[control]
addresses = tcp://127.0.0.1:7000, tcp://127.0.0.1:7001
[cluster]
name = sealdesk
secret_file = secret
"""


def _write(folder: Path, text: str) -> str:
    (folder / 'secret').write_text('0123456789abcdef0123456789abcdef\n')
    path = folder / 'entry.ini'
    path.write_text(text)
    return str(path)


def _faults(folder: Path, text: str) -> set[tuple[str, str]]:
    path = _write(folder, text)
    with pytest.raises(SettingsError) as caught:
        EntryConfig.from_file(path)
    faults = caught.value.context['faults']
    assert {fault['file'] for fault in faults} == {path}
    return {(fault['section'], fault['key']) for fault in faults}


def test_entry_defaults(tmp_path: Path) -> None:
    """Guards against wrong defaults for a file without optional keys."""
    cfg = EntryConfig.from_file(_write(tmp_path, _VALID))
    assert cfg.control.addresses == (
        'tcp://127.0.0.1:7000',
        'tcp://127.0.0.1:7001',
    )
    assert cfg.control.sync_interval_s * 2 == 1
    assert cfg.host.advertised_url == 'http://127.0.0.1:8080'
    assert cfg.cluster.read_secret() == b'0123456789abcdef0123456789abcdef'
    assert cfg.tls.enabled is False
    assert cfg.log.format == 'text'


def test_entry_lists_all_faults(tmp_path: Path) -> None:
    """Guards against an error that lists only the first fault."""
    text = """
[host]
name = Entry 1
address = entry.example
port = 99999
colour = red
[control]
addresses = tcp://control.example:7000
sync_interval_s = nan
[limits]
threads = many
[extras]
a = 1
[DEFAULT]
b = 1
"""
    assert _faults(tmp_path, text) == {
        ('host', 'name'),
        ('host', 'zone'),
        ('host', 'address'),
        ('host', 'port'),
        ('host', 'colour'),
        ('control', 'addresses'),
        ('control', 'sync_interval_s'),
        ('cluster', 'name'),
        ('cluster', 'secret_file'),
        ('limits', 'threads'),
        ('extras', ''),
        ('DEFAULT', ''),
    }


@pytest.mark.parametrize(
    ('extra', 'location'),
    [
        ('[tls]\ncert = secret', ('tls', 'key')),
        ('[tls]\nkey = secret', ('tls', 'cert')),
        ('[metrics]\nport = 8080', ('metrics', 'port')),
        (
            '[tls]\ncert = secret\nkey = secret\nca = missing',
            ('tls', 'ca'),
        ),
    ],
)
def test_entry_cross_checks(
    tmp_path: Path, extra: str, location: tuple[str, str]
) -> None:
    """Guards against fields that are valid alone but contradictory."""
    assert _faults(tmp_path, _VALID + extra) == {location}


def test_entry_slow_sync(tmp_path: Path) -> None:
    """Guards against an interval at which one lost sync stops dispatching."""
    text = _VALID.replace('[cluster]', 'sync_interval_s = 1.5\n[cluster]')
    assert _faults(tmp_path, text) == {('control', 'sync_interval_s')}


def test_entry_tls_link_without_ca(tmp_path: Path) -> None:
    """Guards against TLS links whose peer is never verified."""
    text = _VALID.replace('tcp://', 'tls+tcp://')
    assert _faults(tmp_path, text) == {('control', 'addresses')}


@pytest.mark.parametrize(
    'text', ['name = x', '[host]\n[host]', '[host]\na = 1\na = 2']
)
def test_entry_not_ini(tmp_path: Path, text: str) -> None:
    """Guards against a traceback for a file that is not an INI file."""
    assert _faults(tmp_path, text) == {('', '')}


def test_entry_short_secret(tmp_path: Path) -> None:
    """Guards against a cluster secret so short that it can be guessed."""
    path = _write(tmp_path, _VALID)
    (tmp_path / 'secret').write_text('short')
    with pytest.raises(SettingsError, match='fewer than 16 bytes'):
        EntryConfig.from_file(path)
