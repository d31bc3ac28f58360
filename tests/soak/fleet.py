"""The processes under test, their settings files and their ends."""

from __future__ import annotations

import itertools
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[2]
CALLER_PORT: Final = 7000
READINESS_PORT: Final = 7001
OPERATOR_PORT: Final = 7002
DIRECTORY_PORT: Final = 7003
FIRST_LINK_PORT: Final = 7010
LAST_LINK_PORT: Final = 7015
_PYTHON_PATH: Final = f'{ROOT / "src"}{os.pathsep}{ROOT / "tests"}'
# Arguments of the interpreter that run the program unchanged.
_PROGRAM: Final = ('-m', 'apricotcart')
# Time in seconds from SIGTERM until the platform kills a process.
STOP_S: Final = 8
COORDINATOR: Final = 'coordinator'
GATEWAY: Final = 'gateway'
_START_TIMEOUT_S: Final = 30.0
_POLL_S: Final = 0.02
_SETTINGS: Final = """\
[host]
name = {name}
zone = z
region = r
address = {ip}
first_start = true
[listen]
callers = {ip}:{callers}
readiness = {ip}:{readiness}
operators = {ip}:{operators}
directory = {ip}:{directory}
[links]
first_port = {first_link}
last_port = {last_link}
seeds = {seeds}
[data]
folder = {folder}/data
[platform]
address = {platform}
[bounds]
stop_s = {stop_s}
"""


class LoopbackNetwork:
    """A block of loopback addresses that nobody else on the machine uses."""

    __slots__ = ('_prefix',)

    def __init__(self) -> None:
        """Find a block of which the first address is free."""
        rng = random.SystemRandom()
        while True:
            self._prefix = f'127.{rng.randint(1, 254)}.{rng.randint(1, 254)}'
            with socket.socket() as probe:
                if probe.connect_ex((self.ip(1), OPERATOR_PORT)):
                    return

    def ip(self, number: int) -> str:
        """Return an address of the block."""
        return f'{self._prefix}.{number}'


class ManagedProcess:
    """A gateway or coordinator that can be started several times.

    Attributes
    ----------
    ip : str
        Loopback address of the process.
    settings : Path
        Settings file of the process.
    launcher : sequence of str
        Arguments of the Python interpreter before those of the program.
    """

    def __init__(self, role: str, ip: str, settings: Path) -> None:
        self.role = role
        self.ip = ip
        self.launcher: Sequence[str] = _PROGRAM
        self.settings = settings
        self._starts = itertools.count(1)
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> subprocess.Popen[bytes]:
        """The process that was started last."""
        if self._process is None:
            raise RuntimeError(f'{self.role} {self.ip} was not started')
        return self._process

    def launch(self) -> None:
        """Start the process without waiting until it serves."""
        log = self.settings.parent / f'log-{next(self._starts)}.txt'
        with log.open('wb') as output:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    *self.launcher,
                    self.role,
                    '--settings',
                    str(self.settings),
                ],
                env={**os.environ, 'PYTHONPATH': _PYTHON_PATH},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def start(self) -> None:
        """Start the process and wait until it listens."""
        self.launch()
        self.await_port()

    def await_port(self) -> None:
        """Wait until the process listens.

        Raises
        ------
        TimeoutError
            If it does not.
        """
        port = CALLER_PORT if self.role == GATEWAY else OPERATOR_PORT
        deadline = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex((self.ip, port)) == 0:
                    return
            time.sleep(_POLL_S)
        raise TimeoutError(f'{self.role} {self.ip} does not listen on {port}')

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.running.send_signal(signal_number)

    def kill(self) -> None:
        """End the process at once, whatever its state."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()


class Fleet:
    """Coordinators and gateways with their settings files.

    Parameters
    ----------
    network : LoopbackNetwork
        Addresses of the processes.
    folder : Path
        Folder of settings files, durable state and logs.
    platform : str
        Address of the platform's API.
    gateways : int
        Number of gateways.
    coordinators : int
        Number of coordinators.
    """

    def __init__(
        self,
        network: LoopbackNetwork,
        folder: Path,
        platform: str,
        gateways: int,
        coordinators: int = 3,
    ) -> None:
        self._folder = folder
        self._platform = platform
        control_ips = [network.ip(1 + number) for number in range(coordinators)]
        self._seeds = ','.join(f'{ip}:{OPERATOR_PORT}' for ip in control_ips)
        self.coordinators = [
            self._process(COORDINATOR, ip) for ip in control_ips
        ]
        self.gateways = [
            self._process(GATEWAY, network.ip(11 + number))
            for number in range(gateways)
        ]

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes."""
        return [*self.coordinators, *self.gateways]

    def start(self) -> None:
        """Start all processes and wait until they listen."""
        for process in self.processes:
            process.launch()
        for process in self.processes:
            process.await_port()

    def kill(self) -> None:
        """End all processes."""
        for process in self.processes:
            process.kill()

    def _process(self, role: str, ip: str) -> ManagedProcess:
        folder = self._folder / f'{role}-{ip}'
        folder.mkdir(parents=True)
        settings = folder / 'settings.ini'
        settings.write_text(
            _SETTINGS.format(
                name=f'{role}-{ip.rpartition(".")[2]}',
                ip=ip,
                callers=CALLER_PORT,
                readiness=READINESS_PORT,
                operators=OPERATOR_PORT,
                directory=DIRECTORY_PORT,
                first_link=FIRST_LINK_PORT,
                last_link=LAST_LINK_PORT,
                seeds=self._seeds,
                folder=folder,
                platform=self._platform,
                stop_s=STOP_S,
            ),
            encoding='utf-8',
        )
        return ManagedProcess(role, ip, settings)
