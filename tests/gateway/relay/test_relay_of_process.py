"""Guards against a gateway process without a protected relay listener."""

from __future__ import annotations

import contextlib
import socket
import subprocess
import sys
import time
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[3]
_START_S = 30
_REQUEST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n'


def _free_port() -> int:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return int(listener.getsockname()[1])


def _settings(folder: Path, relay_port: int) -> Path:
    path = folder / 'settings.ini'
    path.write_text(
        '[host]\nname = a\nzone = a\nregion = r\naddress = 127.0.0.1\n'
        f'[listen]\ncallers = 127.0.0.1:{_free_port()}\n'
        f'readiness = 127.0.0.1:{_free_port()}\n'
        f'[links]\nfirst_port = {relay_port - 1}\nlast_port = {relay_port}\n'
        'seeds = 127.0.0.1:1\n[platform]\naddress = 127.0.0.1:1\n'
        '[bounds]\nstop_s = 3\n',
    )
    return path


def _status_of(port: int) -> int:
    deadline = time.monotonic() + _START_S
    while time.monotonic() < deadline:
        with contextlib.suppress(ConnectionError):
            with socket.create_connection(('127.0.0.1', port), 5) as conn:
                conn.sendall(_REQUEST)
                return int(conn.recv(65536).split()[1])
        time.sleep(0.05)
    return 0


def test_process_takes_nothing_over_without_a_ticket(tmp_path: Path) -> None:
    relay_port = _free_port()
    settings = _settings(tmp_path, relay_port)
    command = [sys.executable, '-m', 'apricotcart', 'gateway']
    with contextlib.ExitStack() as cleanup:
        process = cleanup.enter_context(
            subprocess.Popen(
                [*command, '--settings', str(settings)],
                env={'PYTHONPATH': str(_ROOT / 'src')},
                stdout=subprocess.DEVNULL,
            )
        )
        cleanup.callback(process.kill)
        assert _status_of(relay_port) == 403
