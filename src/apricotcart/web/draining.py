"""Selects the connections of an HTTP server, and ends them in order."""

from __future__ import annotations

import errno
import logging
import math
import os
import select
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from selectors import EVENT_READ, EVENT_WRITE
from typing import Any, Final

from cheroot.connections import ConnectionManager
from cheroot.workers.threadpool import ThreadPool

from apricotcart.observability.decisions import (
    DESCRIPTORS_USED_UP,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.open_connections import Activity
from apricotcart.web.thread_relief import free_threads

_LOG = logging.getLogger(__name__)
_DISCARD_BYTES: Final = 65_536
# What is received at most from a peer that was refused and goes on sending,
# and for how long.
_MAX_CLOSING_BYTES: Final = 16_777_216
_MAX_CLOSING_S: Final = 5.0
_NO_DESCRIPTOR: Final = frozenset((errno.EMFILE, errno.ENFILE))
# Idle connections that are closed together while no descriptor is free; the
# requests of the next callers need some for endpoints too.
_CLOSED_TOGETHER: Final = 16
# Pause before the next try if none is idle.
_NO_DESCRIPTOR_PAUSE_S: Final = 0.02
_WAKE_UP_BYTE: Final = b'w'


class WakeUp:
    """Ends the wait of the thread that selects connections.

    Attributes
    ----------
    last_used : float
        Infinite, so that it never counts as an expired connection.
    """

    __slots__ = ('_reader', '_writer', 'last_used')

    def __init__(self) -> None:
        reader, writer = socket.socketpair()
        self._reader = reader
        self._writer = writer
        self._reader.setblocking(False)  # noqa: WPS425 (the library's name)
        self._writer.setblocking(False)  # noqa: WPS425 (the library's name)
        self.last_used = math.inf

    def fileno(self) -> int:
        """Return the file descriptor to select."""
        return self._reader.fileno()

    def send(self) -> None:
        """Make the file descriptor readable."""
        # A full buffer is readable already; a closed one has no reader.
        with suppress(OSError):
            self._writer.send(_WAKE_UP_BYTE)

    def clear(self) -> None:
        """Discard what makes the file descriptor readable."""
        with suppress(BlockingIOError):
            self._reader.recv(_DISCARD_BYTES)

    def close(self) -> None:
        """Close both ends."""
        self._reader.close()
        self._writer.close()


class DrainingConnections(ConnectionManager):
    """Selects connections with a request, and drains them at the end.

    Parameters
    ----------
    server : Any
        The HTTP server, which listens already.

    Attributes
    ----------
    wake_up : WakeUp
        Ends the wait of the thread that selects.
    listener_closed : threading.Event
        Set once no connection is unaccepted any more.
    """

    _selector: Any

    def __init__(self, server: Any) -> None:
        super().__init__(server)
        # The drain accepts until the queue is empty.
        server.socket.setblocking(False)
        self.listener_closed = threading.Event()
        self.wake_up = WakeUp()
        self._register(self.wake_up, self.wake_up)

    def stop(self) -> None:
        """Stop selecting."""
        self._stop_requested = True
        self.wake_up.send()
        super().stop()

    def on_wake_up(self, *, drains: bool) -> None:
        """Select again after a wake-up, and drain if it asks for that."""
        self.wake_up.clear()
        self._register(self.wake_up, self.wake_up)
        if drains:
            self._close_listener()
            self.close_quiet(Activity.IDLE)

    def await_head(self, conn: Any) -> None:
        """Wait until more of the head of a request arrives."""
        if conn.head.has_begun:
            conn.activity = Activity.READING
            # The deadline of the head holds.
            conn.last_used = math.inf
            self.server.head_memory.hold(conn.head)
        elif conn.activity is not Activity.IDLE:
            conn.activity = Activity.AWAITED
            conn.last_used = time.time()
        self._register(conn.socket, conn)

    def await_writable(self, conn: Any) -> None:
        """Wait until the caller reads more of its answer."""
        conn.last_used = time.time()
        self._selector.register(conn.socket.fileno(), EVENT_WRITE, data=conn)

    def end_heads(self, now: float) -> None:
        """Let threads refuse the requests whose head is late.

        Parameters
        ----------
        now : float
            Time in seconds of the boot clock; infinite to refuse all.
        """
        for fileno, conn in _with_activity(self._selector, Activity.READING):
            if conn.head.ends_at <= now:
                self._selector.unregister(fileno)
                self.server.queue(conn)

    def close_quiet(self, activity: Activity) -> None:
        """Close the connections of an activity on which nothing arrived."""
        for fileno, conn in self._quiet(activity):
            self._selector.unregister(fileno)
            conn.close()

    def await_close(self, conn: Any) -> bool:
        """Wait until the peer closes a connection whose end was sent.

        Return False if the thread that selects has ended.
        """
        expires_after_s = min(self.server.timeout, _MAX_CLOSING_S)
        conn.last_used = time.time() - self.server.timeout + expires_after_s
        conn.discarded_bytes = 0
        try:
            self._register(conn.socket, conn)
        except (KeyError, OSError, ValueError):
            return False
        return True

    def on_closing_readable(self, conn: Any) -> None:
        """Close a connection if the peer did; discard what it sent else."""
        size = _discard_input(conn.socket)
        if size is not None:
            conn.discarded_bytes += size
            if conn.discarded_bytes <= _MAX_CLOSING_BYTES:
                self._register(conn.socket, conn)
                return
        conn.close()

    def _from_server_socket(self, server_socket: Any) -> Any:
        # The listener may be closed by an event before this one.
        if server_socket is None:
            return None
        accept: Any = super()._from_server_socket  # type: ignore[misc]
        try:
            return accept(server_socket)
        except OSError as exc:
            if exc.errno not in _NO_DESCRIPTOR:
                raise
        self._make_room()
        return None

    def _make_room(self) -> None:
        """Close the connections that have been idle for longest.

        Among them are those on which nothing has arrived.
        """
        quiet = self._quiet(Activity.IDLE, Activity.AWAITED)
        idle = sorted(quiet, key=lambda pair: pair[1].last_used)
        oldest = idle[:_CLOSED_TOGETHER]
        log_decision(
            DESCRIPTORS_USED_UP, connections=len(oldest), idle=len(idle)
        )
        for fileno, conn in oldest:
            self._selector.unregister(fileno)
            conn.close()
        if not oldest:
            time.sleep(_NO_DESCRIPTOR_PAUSE_S)

    def _register(self, fileobj: Any, conn: Any) -> None:
        self._selector.register(fileobj.fileno(), EVENT_READ, data=conn)

    def _close_listener(self) -> None:
        """Accept what the kernel has queued, then close the listener."""
        listener = self.server.socket
        if listener is None:
            return
        self._selector.unregister(listener.fileno())
        # The shortest queue, so that nearly nothing is queued between the
        # last accept and the close, which resets what is.
        listener.listen(0)
        accepted = []
        with suppress(OSError):
            while is_readable(listener):
                accepted.append(self._from_server_socket(listener))
        self.server.socket = None
        listener.close()
        self.listener_closed.set()
        self._queue([conn for conn in accepted if conn is not None])

    def _queue(self, conns: list[Any]) -> None:
        # The pool grows once for all. To start a thread may take 0.1 s under
        # load, and the others must not wait for that.
        ready = [conn for conn in conns if self.server.needs_thread(conn)]
        for conn in ready[:-1]:
            ThreadPool.put(self.server.requests, conn)
        for last in ready[-1:]:
            self.server.queue(last)

    def _quiet(self, *activities: Activity) -> Iterator[tuple[int, Any]]:
        """Yield the connections on which nothing arrived, by descriptor.

        Each is checked just before it is yielded.
        """
        for activity in activities:
            for fileno, conn in _with_activity(self._selector, activity):
                if not is_readable(conn.socket):
                    yield fileno, conn

    def _expire(self, threshold: float) -> None:
        super()._expire(threshold)  # type: ignore[misc]
        self.end_heads(boot_clock_s())
        free_threads(self.server, self.server.requests.qsize)


def _with_activity(selector: Any, activity: Activity) -> list[tuple[int, Any]]:
    """Return the selected connections that do something, by descriptor."""
    return [
        (fileno, conn)
        for fileno, conn in selector.connections
        if getattr(conn, 'activity', None) is activity
    ]


def is_readable(sock: Any) -> bool:
    """Return whether a socket has data, its end or a connection."""
    poller = select.poll()
    try:
        poller.register(sock, select.POLLIN)
    except ValueError:
        # Another thread has just closed it.
        return True
    return bool(poller.poll(0))


def _discard_input(sock: Any) -> int | None:
    """Read once from a socket; return the size, None if its peer closed."""
    try:
        # Not the method of the socket, which would decrypt TLS.
        return len(os.read(sock.fileno(), _DISCARD_BYTES)) or None
    except BlockingIOError:
        return 0
    except OSError:
        return None
