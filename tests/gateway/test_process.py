"""Guards against processes that do not stop in time."""

from __future__ import annotations

import contextlib
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

_ROOT = Path(__file__).resolve().parents[2]
_STOP_S = 3
_START_S = 30


def _free_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return int(listener.getsockname()[1])


def _free_port_pair() -> int:
    """Return the first of two consecutive free ports."""
    while True:
        port = _free_port()
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port + 1))
            return port


def _settings(folder: Path, ports: list[int]) -> Path:
    path = folder / 'settings.ini'
    path.write_text(
        '[host]\nname = a\nzone = a\nregion = r\naddress = 127.0.0.1\n'
        'first_start = true\n'
        f'[listen]\ncallers = 127.0.0.1:{ports[0]}\n'
        f'readiness = 127.0.0.1:{ports[1]}\n'
        f'operators = 127.0.0.1:{ports[0]}\n'
        f'directory = 127.0.0.1:{ports[1]}\n'
        f'[links]\nfirst_port = {ports[2]}\nlast_port = {ports[2] + 1}\n'
        f'seeds = 127.0.0.1:{ports[0]}\n'
        f'[data]\nfolder = {folder / "data"}\n'
        f'[platform]\naddress = 127.0.0.1:{ports[3]}\n'
        f'[bounds]\nstop_s = {_STOP_S}\n',
    )
    return path


def _await_port(port: int) -> None:
    deadline = time.monotonic() + _START_S
    while time.monotonic() < deadline:
        with socket.socket() as probe:
            if probe.connect_ex(('127.0.0.1', port)) == 0:
                return
        time.sleep(0.05)
    raise TimeoutError(f'nothing listens on port {port}')


@pytest.mark.parametrize('role', ['gateway', 'coordinator'])
def test_process_ends_before_it_is_killed(tmp_path: Path, role: str) -> None:
    """Guards against HTTP server threads that keep a process alive.

    Seen on the recorded day of csft-sealdesk: 6 processes had to be killed.
    """
    ports = [_free_port(), _free_port(), _free_port_pair(), _free_port()]
    with subprocess.Popen(
        [
            sys.executable,
            '-m',
            'apricotcart',
            role,
            '--settings',
            str(_settings(tmp_path, ports)),
        ],
        env={'PYTHONPATH': str(_ROOT / 'src')},
        stdout=subprocess.PIPE,
    ) as process:
        try:
            _await_port(ports[0])
            _await_port(ports[1])
            process.send_signal(signal.SIGTERM)
            assert process.wait(_STOP_S) == 0
        finally:
            process.kill()
