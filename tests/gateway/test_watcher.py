"""Tests of the thread that detects callers that disconnect."""

from __future__ import annotations

import os
import socket
import threading
import time
from typing import Final

from apricotcart.gateway.watcher import CallerWatcher

_WAIT_S: Final = 1.0


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
