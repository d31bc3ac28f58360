"""Faults that the soak injects from outside the processes."""

from __future__ import annotations

import random
import signal
import time
from abc import ABC, abstractmethod
from typing import Final

from soak.checks import Absence
from soak.fleet import GATEWAY, STOP_S, ManagedProcess
from soak.proxy import ProxyMode
from soak.world import World

# Exit code of a process that SIGTERM ended before it could handle signals.
_ENDED_BY_SIGTERM: Final = -signal.SIGTERM


class Fault(ABC):
    """A fault of one process or proxy, from its start to its end."""

    @property
    @abstractmethod
    def target(self) -> str:
        """Name of what fails; one fault at a time has it."""

    @abstractmethod
    def run(self, world: World) -> None:
        """Inject the fault and end it."""

    def __str__(self) -> str:
        """Return the kind of the fault and its target."""
        return f'{type(self).__name__} of {self.target}'


class ProcessFault(Fault):
    """A fault of one process."""

    def __init__(self, process: ManagedProcess, rng: random.Random) -> None:
        self._process = process
        self._rng = rng

    @property
    def target(self) -> str:
        """Role and address of the process."""
        return f'{self._process.role} {self._process.ip}'

    @property
    def _disturbed(self) -> str:
        """Address whose callers may notice the fault, if it is unplanned."""
        return self._process.ip if self._process.role == GATEWAY else ''


class PlannedRestart(ProcessFault):
    """SIGTERM, and a start after the end."""

    def run(self, world: World) -> None:
        """Stop and start the process."""
        stop = world.signal_stop(self._process)
        self._signal_again()
        world.await_stop(self._process, stop)
        with world.disturbance(self._disturbed, Absence):
            self._process.start()

    def _signal_again(self) -> None:
        """Send further signals while the process stops."""


class RepeatedTerm(PlannedRestart):
    """SIGTERM a second time while the process stops."""

    def _signal_again(self) -> None:
        time.sleep(self._rng.uniform(0, 2))
        self._process.send(signal.SIGTERM)


class Hangup(ProcessFault):
    """SIGHUP, which a process ignores."""

    def run(self, world: World) -> None:
        """Send the signal."""
        self._process.send(signal.SIGHUP)


class Crash(ProcessFault):
    """SIGKILL, and a start later."""

    def run(self, world: World) -> None:
        """Kill and start the process."""
        with world.disturbance(self._disturbed):
            self._process.kill()
            time.sleep(self._rng.uniform(0, 1.5))
            self._process.start()


class TermDuringStart(ProcessFault):
    """SIGTERM to a process that does not serve yet."""

    def run(self, world: World) -> None:
        """Start the process twice, the first time with a signal."""
        with world.disturbance(self._disturbed):
            self._process.kill()
            self._process.launch()
            time.sleep(self._rng.uniform(0, 1.2))
            self._process.send(signal.SIGTERM)
            exit_code = self._process.running.wait(STOP_S)
            if exit_code not in {0, _ENDED_BY_SIGTERM}:
                world.failures.append(f'{self}: exit code {exit_code}')
            self._process.start()


class Freeze(ProcessFault):
    """SIGSTOP, and SIGCONT later."""

    def run(self, world: World) -> None:
        """Stop and continue the process."""
        with world.disturbance(self._disturbed):
            self._process.send(signal.SIGSTOP)
            time.sleep(self._rng.uniform(0.1, 3))
            self._process.send(signal.SIGCONT)
            # What has waited in sockets is handled now.
            time.sleep(1)


class ProxyFault(Fault):
    """Disturbed connections to a gateway or an endpoint."""

    def __init__(self, index: int, rng: random.Random) -> None:
        self._index = index
        self._rng = rng
        self._mode = rng.choice(tuple(ProxyMode))

    @property
    def target(self) -> str:
        """Number of the proxy."""
        return f'proxy {self._index}'

    def run(self, world: World) -> None:
        """Disturb connections for some time."""
        with world.disturbance(None):
            world.change_proxy(self._index, self._mode)
            time.sleep(self._rng.uniform(0.2, 3))
            world.change_proxy(self._index, ProxyMode.PASS)
            time.sleep(1)


PROCESS_FAULTS: Final = (
    PlannedRestart,
    PlannedRestart,
    RepeatedTerm,
    Hangup,
    Crash,
    TermDuringStart,
    Freeze,
)
