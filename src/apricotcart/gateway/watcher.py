"""Detects callers that disconnect while their request is in progress."""

from __future__ import annotations

import logging
import select
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

_LOG = logging.getLogger(__name__)
_CLOSED_EVENTS: Final = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_WATCHED_EVENTS: Final = _CLOSED_EVENTS | select.EPOLLONESHOT
# Also the maximum time from a call of ``stop`` to the end of the thread.
_POLL_TIMEOUT_S: Final = 1.0


class CallerWatcher:
    """A thread that polls the connections of all waiting callers."""

    __slots__ = ('_callbacks', '_lock', '_poll', '_stopping')

    def __init__(self) -> None:
        self._poll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, daemon=True, name='watcher').start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def watch(self, sock: Any, on_closed: Callable[[], None]) -> int:
        """Call back once if the peer closes; return the file descriptor."""
        fileno = int(sock.fileno())
        with self._lock:
            self._callbacks[fileno] = on_closed
            self._poll.register(fileno, _WATCHED_EVENTS)
        return fileno

    def unwatch(self, fileno: int) -> None:
        """Stop watching a file descriptor."""
        with self._lock:
            if self._callbacks.pop(fileno, None) is not None:
                with suppress(OSError, ValueError):
                    self._poll.unregister(fileno)

    def _run(self) -> None:
        while not self._stopping.is_set():
            for fileno, _ in self._poll.poll(_POLL_TIMEOUT_S):
                self._notify(fileno)

    def _notify(self, fileno: int) -> None:
        on_closed = self._take_callback(fileno)
        if on_closed is None:
            return
        try:
            on_closed()
        except Exception:
            _LOG.exception('cannot cancel the request of a disconnected caller')

    def _take_callback(self, fileno: int) -> Callable[[], None] | None:
        """Return the callback of a descriptor whose connection has ended.

        The event may belong to an earlier connection: between the poll and
        this call it can be closed and its descriptor be reused.
        """
        with self._lock:
            on_closed = self._callbacks.get(fileno)
            if on_closed is None:
                return None
            if not _is_closed_by_peer(fileno):
                self._poll.modify(fileno, _WATCHED_EVENTS)
                return None
            self._callbacks.pop(fileno)
            self._poll.unregister(fileno)
            return on_closed


def _is_closed_by_peer(fileno: int) -> bool:
    poller = select.poll()
    poller.register(fileno, select.POLLRDHUP)
    return bool(poller.poll(0))
