"""Processes that a crowd of clients meets, and ordinary callers beside it."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Final

import urllib3
from soak.fleet import CALLER_PORT, OPERATOR_PORT, ManagedProcess
from soak.operators import HOST, desired_state
from soak.world import World
from web.crowd import ask

METRICS_PORT: Final = 7004
# Slots and connections that no crowd uses up.
_MANY: Final = 4000
_TIMEOUT_MS: Final = 60_000
_READY_S: Final = 30.0
_PAUSE_S: Final = 0.1
_OK: Final = 200
# Tries of an ordinary caller, and its deadline; a refusal is no answer.
_TRIES: Final = 4
PATIENCE_S: Final = 5.0
LEGAL: Final = '/idempotent/x'
# An address, and the lines of a request to it.
Question = tuple[tuple[str, int], Sequence[str]]


def ordinary(path: str) -> Sequence[str]:
    """Return the lines of a request of an ordinary caller."""
    return (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        'Attempt-Id: ordinary',
        f'Deadline-Ms: {PATIENCE_S * 1000:.0f}',
        'Content-Length: 0',
    )


def start_world(folder: Path, memory_mb: int, max_body_bytes: int) -> World:
    """Start processes on machines with little memory."""
    world = World(folder, gateways=1, endpoints=1)
    world.endpoints[0].slots = _MANY
    for process in world.fleet.processes:
        settings = folder / f'{process.role}-{process.ip}' / 'settings.ini'
        with settings.open('a', encoding='utf-8') as output:
            output.write(
                f'[machine]\nmemory_mb = {memory_mb}\n'
                f'[metrics]\nport = {METRICS_PORT}\n'
            )
    world.start()
    _replace_state(world, max_body_bytes)
    gateway = (world.fleet.gateways[0].ip, CALLER_PORT)
    until(lambda: ask(gateway, ordinary(LEGAL), PATIENCE_S) == _OK)
    return world


def _replace_state(world: World, max_body_bytes: int) -> None:
    document: Any = desired_state(2)
    document['limits']['max_body_bytes'] = max_body_bytes
    for route in document['routes']:
        route['timeout_ms'] = _TIMEOUT_MS
    for service in document['services']:
        service['max_conns'] = _MANY
    operators = f'{world.fleet.coordinators[0].ip}:{OPERATOR_PORT}'
    until(
        lambda: (
            urllib3.request(
                'POST', f'http://{operators}/v1/Config.Replace', json=document
            ).status
            == _OK
        )
    )


def until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + _READY_S
    while not holds():
        assert time.monotonic() < deadline
        time.sleep(_PAUSE_S)


def restart(process: ManagedProcess) -> int:
    """Start a process anew, so that its peak is of this test; return its id."""
    process.kill()
    process.start()
    return process.running.pid


def listens(address: tuple[str, int]) -> bool:
    """Return whether connections to an address are accepted."""
    with socket.socket() as probe:
        return probe.connect_ex(address) == 0


def answers(address: tuple[str, int], lines: Sequence[str]) -> bool:
    """Return whether one of the tries of an ordinary caller is answered."""
    for _ in range(_TRIES):
        if ask(address, lines, PATIENCE_S) == _OK:
            return True
        time.sleep(_PAUSE_S)
    return False
