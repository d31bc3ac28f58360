"""HTTP server that can answer every request that it has read and then end."""

from __future__ import annotations

import logging
import math
import threading
from typing import Any

from cheroot.wsgi import Server

from apricotcart.responses.memory import ResponseMemory
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.body_memory import BodyMemory
from apricotcart.web.draining import DrainingConnections, is_readable
from apricotcart.web.head_memory import HeadMemory
from apricotcart.web.head_receiver import receive_head
from apricotcart.web.open_connections import Activity, OpenConnections
from apricotcart.web.request_head import Arrival
from apricotcart.web.server_group import ServerGroup
from apricotcart.web.thread_relief import free_threads

_LOG = logging.getLogger(__name__)


class DrainingServer(Server):
    """HTTP server that keeps track of its connections and can drain them.

    Attributes
    ----------
    open_connections : OpenConnections
        The connections from the accept to the close.
    is_leaving : bool
        Whether each connection is closed after its next answer.
    body_memory : BodyMemory
        Memory of the bodies that are received.
    head_memory : HeadMemory
        Memory of the heads that have arrived in part.
    response_memory : ResponseMemory
        Memory of the answers that callers have not read.
    body_turns : threading.Lock
        Held while a costly part of a body is decoded.
    header_timeout_s, body_timeout_s : float
        Longest times for the head and for the body of a request, in seconds.
    """

    header_timeout_s: float
    body_timeout_s: float
    _connections: Any

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.open_connections = OpenConnections()
        self.is_leaving = False
        self.body_memory = BodyMemory()
        self.body_turns = threading.Lock()
        self.head_memory = HeadMemory()
        self.response_memory = ResponseMemory()
        self._is_draining = False
        self._ends_unstarted = False
        self._ends_reads = False
        self._reads_end_at = math.inf

    def prepare(self) -> None:
        """Listen, and start the threads."""
        super().prepare()
        self._connections.close()
        self._connections = DrainingConnections(self)

    def process_conn(self, conn: Any) -> None:
        """Handle a selected connection."""
        if conn is self._connections.wake_up:
            self._on_wake_up()
        elif conn.activity is Activity.CLOSING:
            self._connections.on_closing_readable(conn)
        elif conn.has_unsent:
            self._continue_answer(conn)
        elif self.needs_thread(conn):
            self.queue(conn)

    def needs_thread(self, conn: Any) -> bool:
        """Receive a request; return whether a thread is to read it now.

        Until its head has arrived, the selecting thread waits for it.
        """
        arrival = receive_head(conn)
        if arrival is Arrival.PARTIAL:
            self._connections.await_head(conn)
        elif arrival is Arrival.CLOSED:
            conn.close()
        return arrival is Arrival.READY

    def queue(self, conn: Any) -> None:
        """Let a thread read a connection."""
        conn.activity = Activity.QUEUED
        self.requests.put(conn)
        free_threads(self, 1)

    def put_conn(self, conn: Any) -> None:
        """Keep a connection for its next request, or until its answer is sent.

        An exception here would end the server.
        """
        try:
            if conn.has_unsent:
                conn.answer_writer.start_waiting()
                self._connections.await_writable(conn)
            else:
                conn.activity = Activity.IDLE
                super().put_conn(conn)
        except Exception:
            _LOG.exception('a connection cannot be kept')
            conn.close()
        # The selecting thread may have closed the idle ones just before.
        if self._is_draining:
            self._connections.wake_up.send()

    def linger(self, conn: Any) -> bool:
        """Close a connection once its peer has read the end and closed.

        Return False if no thread waits for that any more.
        """
        conn.activity = Activity.CLOSING
        self.open_connections.start_closing(conn)
        return bool(self._connections.await_close(conn))

    def stop(self) -> None:
        """Answer what callers have sent, then end the threads."""
        # A thread of this server that fails cannot wait for itself.
        if self.ready and self.interrupt is None:
            self._drain_alone()
        super().stop()

    def read_timeout_s(self, timeout_s: float) -> float:
        """Return the time for a read that starts now.

        Parameters
        ----------
        timeout_s : float
            Usual time in seconds.
        """
        if self._is_draining:
            return min(timeout_s, self._reads_end_at - boot_clock_s())
        return timeout_s

    def start_drain(self, reads_end_at: float) -> None:
        """Close the listener and the idle connections.

        Parameters
        ----------
        reads_end_at : float
            When requests that are not read yet are given up, in seconds of
            the boot clock.
        """
        self.is_leaving = True
        self._reads_end_at = reads_end_at
        self._is_draining = True
        self._connections.wake_up.send()

    def wait_listener_closed(self, timeout_s: float) -> bool:
        """Wait until all connections are accepted; return False on timeout."""
        return bool(self._connections.listener_closed.wait(max(0, timeout_s)))

    def end_unstarted(self) -> None:
        """Close the new connections that have not sent a byte."""
        for conn in self.open_connections.snapshot():
            # What has arrived is read, however late a thread gets to it.
            is_reading = conn.activity is Activity.READING
            has_begun = conn.head.has_begun or is_readable(conn.socket)
            if is_reading and not has_begun:
                conn.rfile.socket_reader.end_unstarted()
        self._ends_unstarted = True
        self._connections.wake_up.send()

    def end_reads(self) -> None:
        """Let all reads of requests time out."""
        for conn in self.open_connections.snapshot():
            conn.rfile.socket_reader.end()
        self._ends_reads = True
        self._connections.wake_up.send()

    def _on_wake_up(self) -> None:
        self._connections.on_wake_up(drains=self._is_draining)
        if self._ends_unstarted:
            self._connections.close_quiet(Activity.AWAITED)
        if self._ends_reads:
            self._connections.end_heads(math.inf)

    def _continue_answer(self, conn: Any) -> None:
        """Go on with an answer whose caller reads it, or has left."""
        if conn.send_unsent():
            self._connections.await_writable(conn)
        elif conn.keeps_open and not self.is_leaving:
            self.put_conn(conn)
        else:
            conn.close()

    def _drain_alone(self) -> None:
        group = ServerGroup()
        group.add(self)
        group.drain(boot_clock_s() + self.shutdown_timeout)
        group.wait_closed(math.inf)
