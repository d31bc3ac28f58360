"""The HTTP servers of a process, which stop together."""

from __future__ import annotations

import enum
import logging
import socket
import struct
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.open_connections import Activity

_LOG = logging.getLogger(__name__)
# How long a new connection may take to send its first byte once the listener
# is closed. Its request may still be under way.
_FIRST_BYTE_S: Final = 0.2
# How long before the kill a process ends by itself.
KILL_MARGIN_S: Final = 0.4
# Time for the last answers, to requests that did not finish.
LAST_ANSWERS_S: Final = 0.25
# Position of the length of the accept queue in the kernel's information on a
# listening socket: after eight fields of one byte and four of four bytes.
_QUEUE_LENGTH: Final = struct.Struct('=24xI')


class StopReason(enum.StrEnum):
    """The condition that ended a planned stop."""

    # No request was left.
    IDLE = 'idle'
    # The last requests were ended, and their answers written.
    ENDED = 'ended'
    # The time was up.
    BOUND = 'bound'


def _end_nothing() -> None:
    """Let the requests in progress go on."""


class ServerGroup:
    """The HTTP servers of a process, which are drained together.

    A planned stop calls `leave`, so that answers close their connections, and
    then `finish`, which answers what was sent up to the close of the listeners.
    """

    __slots__ = ('_servers',)

    def __init__(self) -> None:
        self._servers: list[Any] = []

    def add(self, server: Any) -> None:
        """Add an HTTP server."""
        self._servers.append(server)

    def leave(self) -> None:
        """Close each connection after its next answer from now on."""
        for server in self._servers:
            server.is_leaving = True

    def drain(self, ends_at: float) -> bool:
        """Accept no more connections, and wait for all answers.

        Parameters
        ----------
        ends_at : float
            When to return in any case, in seconds of the boot clock.

        Returns
        -------
        bool
            Whether all answers are written.
        """
        for server in self._servers:
            server.start_drain(ends_at)
        for listening in self._servers:
            listening.wait_listener_closed(ends_at - boot_clock_s())
        if self.wait_answered(min(ends_at, boot_clock_s() + _FIRST_BYTE_S)):
            return True
        for draining in self._servers:
            draining.end_unstarted()
        return self.wait_answered(ends_at)

    def finish(
        self,
        deadline: float,
        end_requests: Callable[[], None] = _end_nothing,
    ) -> StopReason:
        """Drain, and wait until the callers have the last answers.

        Parameters
        ----------
        deadline : float
            When to return in any case, in seconds of the boot clock.
        end_requests : callable
            Ends the requests that are in progress shortly before that.

        Returns
        -------
        StopReason
            The condition that ended the wait.
        """
        reason = StopReason.IDLE
        if not self.drain(deadline - LAST_ANSWERS_S):
            _LOG.warning('ending the requests that are still in progress')
            end_requests()
            self.end_reads()
            is_answered = self.wait_answered(deadline)
            reason = StopReason.ENDED if is_answered else StopReason.BOUND
        self.wait_closed(deadline)
        return reason

    def end_reads(self) -> None:
        """Give requests up that are not read yet."""
        for server in self._servers:
            server.end_reads()

    def wait_answered(self, ends_at: float) -> bool:
        """Wait until all answers are written; return False on timeout."""
        return all(
            server.open_connections.wait_answered(ends_at - boot_clock_s())
            for server in self._servers
        )

    def wait_closed(self, ends_at: float) -> None:
        """Wait a short time for the callers that were answered last."""
        for server in self._servers:
            server.open_connections.wait_closed(ends_at - boot_clock_s())

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
