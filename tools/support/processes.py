"""Child processes with their output in files."""

from __future__ import annotations

import os
import signal
import socket
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
_STOP_TIMEOUT_S = 60.0
_POLL_S = 0.02
START_TIMEOUT_S = 60.0


class ChildError(Exception):
    """A child process did not do what it was started for."""


class Child:
    """One process, signalled by its id only."""

    def __init__(
        self,
        name: str,
        args: Sequence[str],
        folder: Path,
        program: Sequence[str] = (),
    ) -> None:
        """Start the process."""
        self.name = name
        self.output = folder / f'{name}.out'
        command = [*(program or (sys.executable, '-m')), *args]
        env = {
            **os.environ,
            'PYTHONPATH': f'{ROOT}/src:{ROOT}/tests:{ROOT}/tools',
        }
        with self.output.open('ab') as output:
            self._process = subprocess.Popen(
                command,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env=env,
            )
        self.pid = self._process.pid

    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.is_running():
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self._process.wait(_STOP_TIMEOUT_S)

    def freeze(self) -> None:
        """Stop the process without ending it."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Ask the process to end and give its exit code."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise ChildError(f'{self.name} did not stop') from None

    def tail(self) -> str:
        """Give the end of the output."""
        return self.output.read_text(errors='replace')[-3000:]


def free_port(host: str) -> int:
    """Give a port of a loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


def wait_until(
    condition: Callable[[], object],
    what: str,
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(_POLL_S)
    raise ChildError(f'timed out: {what}')


def accepts(host: str, port: int) -> bool:
    """Tell whether something listens."""
    try:
        with socket.create_connection((host, port), 1):
            return True
    except OSError:
        return False
