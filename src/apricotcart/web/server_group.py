"""The HTTP servers of a process, which stop together."""

from __future__ import annotations

import socket
import struct
from collections import Counter
from typing import Any, Final

from apricotcart.web.open_connections import Activity

# Position of the length of the accept queue in the kernel's information on a
# listening socket: after eight fields of one byte and four of four bytes.
_QUEUE_LENGTH: Final = struct.Struct('=24xI')


class ServerGroup:
    """The HTTP servers of a process."""

    __slots__ = ('_servers',)

    def __init__(self) -> None:
        self._servers: list[Any] = []

    def add(self, server: Any) -> None:
        """Add an HTTP server."""
        self._servers.append(server)

    def counts(self) -> dict[str, int]:
        """Return how many connections are open, by what they are doing."""
        by_activity: Counter[Activity] = Counter()
        for server in self._servers:
            by_activity.update(server.open_connections.counts())
        counts = {
            activity.value: by_activity[activity] for activity in Activity
        }
        return {
            'connections': by_activity.total(),
            'unaccepted': sum(map(_accept_queue_length, self._servers)),
            **counts,
        }


def _accept_queue_length(server: Any) -> int:
    """Return the number of unaccepted connections, 0 if it is unknown."""
    listener = server.socket
    if listener is None:
        return 0
    try:
        fields = listener.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _QUEUE_LENGTH.size
        )
        return int(_QUEUE_LENGTH.unpack(fields)[0])
    except (OSError, struct.error):
        return 0
