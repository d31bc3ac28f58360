"""Runs child processes with their output in files."""

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
    """A child process failed or timed out."""


class Child:
    """A child process, signalled only by its own process id."""

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
        """Return whether the process has not exited."""
        return self._process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.is_running():
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGKILL)
        self._process.wait(_STOP_TIMEOUT_S)

    def freeze(self) -> None:
        """Suspend the process."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.signal(signal.SIGCONT)

    def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Send SIGTERM and return the exit code."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise ChildError(
                f'{self.name} did not exit within {timeout_s} s of SIGTERM'
            ) from None

    def tail(self) -> str:
        """Return the last 3000 characters of the output."""
        return self.output.read_text(errors='replace')[-3000:]


def free_port(host: str) -> int:
    """Return a port of a loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


def wait_until(
    condition: Callable[[], object],
    what: str,
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    """Poll until a condition holds.

    Raises
    ------
    ChildError
        If it does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(_POLL_S)
    raise ChildError(f'timed out after {timeout_s} s waiting for {what}')


def is_listening(host: str, port: int) -> bool:
    """Return whether a connection to the address is accepted."""
    try:
        with socket.create_connection((host, port), 1):
            return True
    except OSError:
        return False
