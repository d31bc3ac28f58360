"""Receives the heads of requests without a thread for each."""

from __future__ import annotations

import os
import ssl
from typing import Any, Final

from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.draining import is_readable
from apricotcart.web.request_head import Arrival

# Maximum number of bytes that are received at once.
_PART_BYTES: Final = 8192


def receive_head(conn: Any) -> Arrival:
    """Receive the head of the next request of a connection without waiting.

    A thread reads it from TLS connections, whose bytes are encrypted.

    Parameters
    ----------
    conn : DeadlineConnection
        The connection, which no thread reads meanwhile.
    """
    if isinstance(conn.socket, ssl.SSLSocket):
        return _tls_arrival(conn)
    server = conn.server
    head = conn.head
    if head.is_dropped:
        return Arrival.CLOSED
    timeout_s = server.read_timeout_s(server.header_timeout_s)
    ends_at = boot_clock_s() + timeout_s
    head.add(conn.rfile.take_received(), ends_at)
    limit = server.max_request_header_size
    while not head.is_complete and not 0 < limit < len(head.received):
        part = _receive_part(conn)
        if part is None:
            return Arrival.PARTIAL
        if not part:
            return Arrival.READY if head.has_begun else Arrival.CLOSED
        head.add(part, ends_at)
    return Arrival.READY


def _tls_arrival(conn: Any) -> Arrival:
    has_decrypted = conn.rfile.has_data() or conn.socket.pending() > 0
    if has_decrypted or is_readable(conn.socket):
        return Arrival.READY
    return Arrival.PARTIAL


def _receive_part(conn: Any) -> bytes | None:
    """Return what has arrived, None if nothing has, b'' at the end."""
    try:
        # Not the method of the socket, which would wait.
        return os.read(conn.socket.fileno(), _PART_BYTES)
    except BlockingIOError:
        return None
    except OSError:
        return b''
