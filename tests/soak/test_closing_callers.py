"""Callers that close their connections while others wait for responses."""

from __future__ import annotations

import os
import random
import socket
import threading
import time
from pathlib import Path
from typing import Final

import pytest

from apricotcart.gateway.watcher import CallerWatcher
from soak.world import running_world

pytestmark = pytest.mark.xdist_group('soak')
_FIRST_CALLERS: Final = 24
_MORE_CALLERS: Final = 120
_BAD_GATEWAY: Final = 502
_SOAK_S: Final = 5.0
_WAIT_S: Final = 1.0


def test_closing_callers_do_not_cancel_requests_of_others(
    tmp_path: Path,
) -> None:
    """Guards against requests that are cancelled for another caller's end.

    A gateway closes connections after each response while it stops, so that
    file descriptors are reused most then.
    """
    with running_world(tmp_path) as world:
        gateway = world.fleet.gateways[0].ip
        rng = random.Random(1)
        for callers in (_FIRST_CALLERS, _MORE_CALLERS):
            world.add_callers(gateway, callers, rng, keeps_connections=False)
            world.await_served(gateway)
        time.sleep(_SOAK_S)
        world.finish_callers()
        assert not world.find_faults()
        # No endpoint fails.
        assert all(
            attempt.status != _BAD_GATEWAY for attempt in world.records.attempts
        )


def test_late_notification_does_not_reach_reused_descriptor() -> None:
    """Guards against a caller's end that is taken for that of the next one.

    The watcher has polled the end of a connection, which is then closed; its
    descriptor is reused before the watcher handles what it polled.
    """
    watcher = CallerWatcher()
    is_handling = threading.Event()
    gone: list[str] = []

    def hold_up() -> None:
        is_handling.set()
        time.sleep(_WAIT_S / 2)

    first, first_peer = socket.socketpair()
    second, second_peer = socket.socketpair()
    third, third_peer = socket.socketpair()
    watcher.watch(first, hold_up)
    reused = watcher.watch(second, lambda: None)
    first_peer.close()
    second_peer.close()
    watcher.start()
    assert is_handling.wait(_WAIT_S)
    watcher.unwatch(reused)
    second.close()
    os.dup2(third.fileno(), reused)
    with socket.socket(fileno=reused) as successor:
        watcher.watch(successor, lambda: gone.append('third'))
        time.sleep(_WAIT_S)
        watcher.stop()
        assert not gone
    for sock in (first, third, third_peer):
        sock.close()
