"""Processes under test together with stand-ins, an operator and callers."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
import time
from collections.abc import Collection, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

from soak import cut_off
from soak.background import BackgroundLoop
from soak.callers import Caller
from soak.checks import (
    ALL_RULES,
    Disturbance,
    PlannedStop,
    Rule,
    find_violations,
    is_excused,
    summarize,
)
from soak.cuts import CutControl, CutWay
from soak.endpoints import StandInEndpoint
from soak.fleet import (
    CALLER_PORT,
    OPERATOR_PORT,
    STOP_S,
    Fleet,
    LoopbackNetwork,
    ManagedProcess,
)
from soak.operators import Operator
from soak.platform_api import StandInPlatform
from soak.proxy import Proxy, ProxyMode
from soak.records import Records

_PLATFORM_PORT: Final = 8081
_READY_TIMEOUT_S: Final = 20.0
_POLL_S: Final = 0.05
_MAX_PRINTED: Final = 40
# A request has ended this long after callers send nothing new.
_DRAIN_TIMEOUT_S: Final = 5.0


class World:
    """Runs processes and callers, and keeps what they saw.

    Parameters
    ----------
    folder : Path
        Folder of settings files, durable state and logs.
    gateways : int
        Number of gateways.
    coordinators : int
        Number of coordinators.
    endpoints : int
        Number of stand-in endpoints.
    has_proxies : bool
        Whether a proxy stands before each endpoint, and one before each
        gateway for some of its callers.

    Attributes
    ----------
    failures : list of str
        Broken promises, other than those to callers.
    """

    def __init__(
        self,
        folder: Path,
        *,
        gateways: int = 1,
        coordinators: int = 3,
        endpoints: int = 2,
        has_proxies: bool = False,
    ) -> None:
        network = LoopbackNetwork()
        self.folder = folder
        self.records = Records()
        self.stops: list[PlannedStop] = []
        self.failures: list[str] = []
        self.proxies: list[Proxy] = []
        self._disturbances: list[Disturbance] = []
        self._proxy_ips: dict[str, str] = {}
        self._loop = BackgroundLoop()
        self._callers: list[Caller] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.endpoints = [
            StandInEndpoint(network.ip(31 + number), self.records)
            for number in range(endpoints)
        ]
        platform = StandInPlatform(
            f'{network.ip(100)}:{_PLATFORM_PORT}', self.endpoints
        )
        self._loop.call(platform.start())
        for endpoint in self.endpoints:
            self._loop.call(endpoint.start())
        self.fleet = Fleet(
            network, folder, platform.address, gateways, coordinators
        )
        if has_proxies:
            self._add_proxies(network)
        self.operator = Operator(
            [
                f'{process.ip}:{OPERATOR_PORT}'
                for process in self.fleet.coordinators
            ]
        )

    def start(self) -> None:
        """Start the processes and send the first desired state."""
        self.fleet.start()
        self.operator.replace(1)

    def add_callers(
        self,
        gateway: str,
        count: int,
        rng: random.Random,
        *,
        is_proxied: bool = False,
        **options: Any,
    ) -> None:
        """Start callers of a gateway."""
        ip = self._proxy_ips[gateway] if is_proxied else gateway
        callers = [
            Caller(
                gateway,
                self.records,
                random.Random(rng.random()),
                ip=ip,
                **options,
            )
            for _ in range(count)
        ]
        self._callers.extend(callers)
        self._loop.call(self._run_callers(callers))

    def await_served(self, gateway: str) -> None:
        """Wait until an endpoint serves a new request of a caller.

        Raises
        ------
        TimeoutError
            If that takes too long.
        """
        since = time.monotonic()
        while time.monotonic() < since + _READY_TIMEOUT_S:
            if self.records.has_served(gateway, since):
                return
            time.sleep(_POLL_S)
        raise TimeoutError(f'gateway {gateway} serves nobody')

    def signal_stop(self, process: ManagedProcess) -> PlannedStop:
        """Send SIGTERM to a process."""
        stop = PlannedStop(process.ip, time.monotonic())
        self.stops.append(stop)
        process.send(signal.SIGTERM)
        return stop

    def await_stop(self, process: ManagedProcess, stop: PlannedStop) -> None:
        """Wait until a process has ended, for at most its stop time."""
        deadline = stop.signalled_at + STOP_S
        try:
            stop.exit_code = process.running.wait(deadline - time.monotonic())
        except subprocess.TimeoutExpired:
            process.kill()
        stop.ended_at = time.monotonic()

    def prepare_cuts(self, gateway: ManagedProcess) -> None:
        """Let a gateway that has not started yet be cut off."""
        control_file = self.folder / f'cut-{gateway.ip}'
        CutControl(control_file).write(CutWay.NONE)
        gateway.launcher = (cut_off.__file__, str(control_file), gateway.ip)

    def cut(self, gateway: ManagedProcess, way: CutWay) -> None:
        """Cut a gateway off from all endpoints, or end that."""
        CutControl(self.folder / f'cut-{gateway.ip}').write(way)
        for endpoint in self.endpoints:
            silent = gateway.ip if way is CutWay.SILENT else ''
            self._loop.call(endpoint.silence(silent))
            if way is CutWay.RESET:
                self._loop.call(endpoint.reset_connections(gateway.ip))

    @contextmanager
    def disturbance(
        self, gateway: str | None, kind: type[Disturbance] = Disturbance
    ) -> Iterator[None]:
        """Excuse what callers of a gateway, or all if None, see meanwhile."""
        disturbance = kind(gateway, time.monotonic())
        self._disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.end = time.monotonic()

    def change_proxy(self, index: int, mode: ProxyMode) -> None:
        """Change how a proxy disturbs connections."""
        self._loop.call(self.proxies[index].change_mode(mode))

    def finish_callers(self) -> None:
        """Let callers finish their requests, and send nothing new."""
        for caller in self._callers:
            caller.stop()
        self._loop.call(asyncio.wait(self._tasks, timeout=_DRAIN_TIMEOUT_S))

    def find_faults(self, rules: Collection[Rule] = ALL_RULES) -> list[str]:
        """Return a line for each broken promise, and print what happened."""
        faults = list(self.failures)
        faults.extend(
            f'exit code of {stop}' for stop in self.stops if stop.exit_code != 0
        )
        faults.extend(
            violation.describe(self.stops)
            for violation in find_violations(self.records, self.stops, rules)
            if not is_excused(violation, self._disturbances)
        )
        stops = [f'stop of {stop}' for stop in self.stops]
        lines = [summarize(self.records), *stops, *faults[:_MAX_PRINTED]]
        sys.stdout.write('\n'.join([*lines, '']))
        return faults

    def close(self) -> None:
        """End all processes and stand-ins."""
        self.fleet.kill()
        self._loop.stop()

    def _add_proxies(self, network: LoopbackNetwork) -> None:
        for number, endpoint in enumerate(self.endpoints):
            proxy = Proxy(network.ip(51 + number), endpoint.address)
            endpoint.listed_address = proxy.address
            self.proxies.append(proxy)
        for number, gateway in enumerate(self.fleet.gateways):
            ip = network.ip(71 + number)
            self._proxy_ips[gateway.ip] = ip
            self.proxies.append(Proxy(ip, f'{gateway.ip}:{CALLER_PORT}'))
        for proxy in self.proxies:
            self._loop.call(proxy.start())

    async def _run_callers(self, callers: Sequence[Caller]) -> None:
        for caller in callers:
            self._tasks.append(asyncio.create_task(caller.run()))


@contextmanager
def running_world(folder: Path, **options: Any) -> Iterator[World]:
    """Provide a world whose processes serve, and end them afterwards.

    The options are those of ``World``, and whether gateways can be cut off.
    """
    can_be_cut_off = options.pop('can_be_cut_off', False)
    world = World(folder, **options)
    try:
        if can_be_cut_off:
            for gateway in world.fleet.gateways:
                world.prepare_cuts(gateway)
        world.start()
        yield world
    finally:
        world.close()
