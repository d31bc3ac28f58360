"""Guards against a desired state that slow links cannot carry in one reply."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, Final

import orjson
import pytest
import urllib3

from soak.background import BackgroundLoop
from soak.fleet import (
    CALLER_PORT,
    FIRST_LINK_PORT,
    OPERATOR_PORT,
    READINESS_PORT,
    Fleet,
    LoopbackNetwork,
    ManagedProcess,
)
from soak.operators import desired_state
from soak.platform_api import StandInPlatform
from soak.slow_links import SlowLink

_PLATFORM_PORT: Final = 8081
_BITS_PER_S: Final = 2_500_000
# Ports at which gateways find the control hosts, behind their slow links.
_FIRST_SLOW_PORT: Final = 7100
_PORTS_PER_HOST: Final = 10
_ROUTES: Final = 2000
# Requests and replies use the port after the first one.
_REQUEST_PORT: Final = 1
# Time within which all gateways have the state after a start, in seconds.
_START_S: Final = 6.0
# Time within which a change is in force: 2.5 s and 3 ms a route.
_CHANGE_S: Final = 2.5 + 0.003 * _ROUTES
# Bytes of a change of one route, with a second of syncs.
_SMALL_CHANGE_BYTES: Final = 60_000
_SETTLED_S: Final = 1.0
_POLL_S: Final = 0.02
_WORD_CHARS: Final = 'abcdefghijklmnopqrstuvwxyz0123456789'


def large_state(
    version: int, routes: int = _ROUTES, seed: int = 1
) -> dict[str, Any]:
    """Return a document whose routes have names of random letters."""
    rng = random.Random(seed)
    document = desired_state(version)
    template = document['routes'][-1]
    document['routes'] += [
        {**template, 'name': _word(rng), 'path_prefix': f'/{_word(rng)}/'}
        for _ in range(routes)
    ]
    return document


class SlowFleet:
    """Three coordinators, and gateways that reach them over slow links."""

    def __init__(
        self, folder: Path, gateways: int, bits_per_s: float = _BITS_PER_S
    ) -> None:
        network = LoopbackNetwork()
        self._bits_per_s = bits_per_s
        self._loop = BackgroundLoop()
        platform = StandInPlatform(f'{network.ip(100)}:{_PLATFORM_PORT}', [])
        self._loop.call(platform.start())
        self.fleet = Fleet(network, folder, platform.address, gateways)
        self.links = [
            self._add_link(gateway, _FIRST_SLOW_PORT + _PORTS_PER_HOST * number)
            for number, gateway in enumerate(self.fleet.gateways)
        ]
        self._pool = urllib3.PoolManager(retries=False)

    def close(self) -> None:
        """End the processes and the proxies."""
        self.fleet.kill()
        self._loop.stop()

    def replace(self, document: dict[str, Any]) -> None:
        """Replace the desired state."""
        body = orjson.dumps(document)
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if self._is_acknowledged(body):
                return
            time.sleep(_POLL_S)
        raise TimeoutError('nobody acknowledges the desired state')

    def ready_s(self, gateways: Sequence[ManagedProcess]) -> float:
        """Return the time until all gateways are ready."""
        started_at = time.monotonic()
        while time.monotonic() < started_at + 20:
            if all(self._is_ready(gateway.ip) for gateway in gateways):
                break
            time.sleep(_POLL_S)
        return time.monotonic() - started_at

    def in_force_s(self, gateway: ManagedProcess, path: str) -> float:
        """Return the time until a gateway knows that a route is gone.

        It answers 503 while it may be there in a newer state.
        """
        started_at = time.monotonic()
        while time.monotonic() < started_at + 20:
            if self._status(f'http://{gateway.ip}:{CALLER_PORT}{path}') == 404:
                break
            time.sleep(_POLL_S)
        return time.monotonic() - started_at

    def _add_link(self, gateway: ManagedProcess, port: int) -> SlowLink:
        settings = gateway.settings.read_text()
        gateway.settings.write_text(
            settings.replace(
                f'first_port = {FIRST_LINK_PORT}\n', f'first_port = {port}\n'
            ).replace('last_port = 7015', f'last_port = {port + 2}')
        )
        link = SlowLink(self._bits_per_s)
        for host in self.fleet.coordinators:
            self._loop.call(
                link.listen(
                    host.ip,
                    port + _REQUEST_PORT,
                    FIRST_LINK_PORT + _REQUEST_PORT,
                )
            )
        return link

    def _is_acknowledged(self, body: bytes) -> bool:
        for host in self.fleet.coordinators:
            try:
                response = self._pool.request(
                    'POST',
                    f'http://{host.ip}:{OPERATOR_PORT}/v1/Config.Replace',
                    body=body,
                    headers={'Content-Type': 'application/json'},
                    timeout=3,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status == 200:
                return True
        return False

    def _is_ready(self, ip: str) -> bool:
        return self._status(f'http://{ip}:{READINESS_PORT}/v1/readyz') == 200

    def _status(self, url: str) -> int:
        try:
            return self._pool.request(
                'GET', url, timeout=2, headers={'Host': 'soak.example'}
            ).status
        except urllib3.exceptions.HTTPError:
            return 0


@pytest.fixture
def slow_fleet(tmp_path: Path) -> Iterator[SlowFleet]:
    """Return running processes."""
    slow = SlowFleet(tmp_path, gateways=2)
    try:
        slow.fleet.start()
        yield slow
    finally:
        slow.close()


def test_restarted_gateway_gets_a_large_state_over_a_slow_link(
    slow_fleet: SlowFleet,
) -> None:
    """Guards against a transfer that begins anew with each sync.

    With a state of 2,000 routes over links of 5 Mbit/s, no gateway had its
    first state 18 s after a power loss.
    """
    slow_fleet.replace(large_state(1))
    gateway = slow_fleet.fleet.gateways[0]
    gateway.kill()
    gateway.start()
    assert slow_fleet.ready_s([gateway]) < _START_S


def _word(rng: random.Random) -> str:
    return ''.join(rng.choices(_WORD_CHARS, k=16))


def test_changes_over_slow_links_are_in_force_in_time_and_cost_little(
    slow_fleet: SlowFleet,
) -> None:
    """Guards against a change that costs as much as the whole state."""
    former = large_state(1)
    slow_fleet.replace(former)
    gateways = slow_fleet.fleet.gateways
    assert slow_fleet.ready_s(gateways) < _START_S
    changed = large_state(2, seed=2)
    slow_fleet.replace(changed)
    path = former['routes'][-1]['path_prefix']
    for gateway in gateways:
        assert slow_fleet.in_force_s(gateway, path) < _CHANGE_S
    passed = [link.bytes_passed for link in slow_fleet.links]
    small = {**changed, 'version': 3, 'routes': changed['routes'][:-1]}
    slow_fleet.replace(small)
    time.sleep(_SETTLED_S)
    for link, before in zip(slow_fleet.links, passed, strict=True):
        assert link.bytes_passed - before < _SMALL_CHANGE_BYTES
