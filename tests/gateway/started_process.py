"""A gateway or coordinator that runs as a process of its own."""

from __future__ import annotations

import contextlib
import random
import re
import socket
import subprocess
import sys
import time
from pathlib import Path
from signal import Signals
from types import TracebackType
from typing import Any, Self

import orjson

_ROOT = Path(__file__).resolve().parents[2]
_START_S = 30
# Below the ports that the kernel gives to connections.
_PORTS = (20_000, 32_000)
_PROBE_INTERVAL_S = 0.05
_LENGTH = re.compile(rb'(?i)content-length: (\d+)')


def _free_ports(count: int) -> int:
    """Return the first of consecutive free ports.

    The kernel gives none of them to connections of other tests.
    """
    while True:
        first = random.randrange(*_PORTS)
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + count):
                probe = stack.enter_context(socket.socket())
                probe.bind(('127.0.0.1', port))
            return first


class StartedProcess:
    """A process of a role that listens on two ports.

    Without other processes, a gateway has no desired state and refuses every
    request, and a coordinator is the only voter.

    Attributes
    ----------
    process : subprocess.Popen
        The process.
    ports : list of int
        Ports of its two HTTP servers.
    """

    def __init__(self, folder: Path, role: str, stop_s: float) -> None:
        self.ports = [_free_ports(1), _free_ports(1)]
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'apricotcart',
                role,
                '--settings',
                str(self._write_settings(folder, stop_s)),
            ],
            env={'PYTHONPATH': str(_ROOT / 'src')},
            stdout=subprocess.PIPE,
        )

    def __enter__(self) -> Self:
        """Wait until the ports are open."""
        for port in self.ports:
            _await_port(port)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill the process if it still runs."""
        self.process.kill()
        self.process.communicate()

    def signal(self, signal_number: Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(signal_number)

    def connect(self) -> socket.socket:
        """Return a new connection to the first port."""
        return socket.create_connection(('127.0.0.1', self.ports[0]), _START_S)

    def wait(self, timeout_s: float) -> list[dict[str, Any]]:
        """Wait for the end of the process and return its log lines."""
        output, _ = self.process.communicate(timeout=timeout_s)
        return [orjson.loads(line) for line in output.splitlines()]

    def _write_settings(self, folder: Path, stop_s: float) -> Path:
        callers, readiness = self.ports
        links = _free_ports(2)
        path = folder / 'settings.ini'
        path.write_text(
            '[host]\nname = a\nzone = a\nregion = r\naddress = 127.0.0.1\n'
            'first_start = true\n'
            f'[listen]\ncallers = 127.0.0.1:{callers}\n'
            f'readiness = 127.0.0.1:{readiness}\n'
            f'operators = 127.0.0.1:{callers}\n'
            f'directory = 127.0.0.1:{readiness}\n'
            f'[links]\nfirst_port = {links}\nlast_port = {links + 1}\n'
            f'seeds = 127.0.0.1:{callers}\n'
            f'[data]\nfolder = {folder / "data"}\n'
            f'[platform]\naddress = 127.0.0.1:{_free_ports(1)}\n'
            f'[bounds]\nstop_s = {stop_s}\n'
            '[log]\nformat = json\n',
        )
        return path


def read_to_end(conn: socket.socket) -> bytes:
    """Return what arrives until the connection ends or is reset."""
    received = b''
    with contextlib.suppress(ConnectionResetError):
        while chunk := conn.recv(65536):
            received += chunk
    return received


def read_response(conn: socket.socket) -> bytes:
    """Return a response whose length is given, up to its end."""
    received = b''
    while True:
        head, blank, body = received.partition(b'\r\n\r\n')
        length = _LENGTH.search(head)
        if blank and length and len(body) >= int(length.group(1)):
            return received
        received += conn.recv(65536)


def _await_port(port: int) -> None:
    deadline = time.monotonic() + _START_S
    while time.monotonic() < deadline:
        with socket.socket() as probe:
            if probe.connect_ex(('127.0.0.1', port)) == 0:
                return
        time.sleep(_PROBE_INTERVAL_S)
    raise TimeoutError(f'nothing listens on port {port}')
