"""Event streams of resources for operators."""

from __future__ import annotations

import time
from collections.abc import Iterator

import orjson

from apricotcart.control.loop import ConsensusLoop
from apricotcart.state.machine import ClusterState
from apricotcart.state.records import Event
from apricotcart.timers.clock import boot_clock_s

_POLL_S = 0.05
# An empty line after this time without events shows that the stream is alive
# and lets the server detect a closed connection.
_KEEPALIVE_S = 1.0
_NEWLINE = b'\n'


class Watcher:
    """Streams events as JSON lines while this host leads.

    Parameters
    ----------
    loop : ConsensusLoop
        Confirms that this host leads.
    state : ClusterState
        Provides the events.
    """

    __slots__ = ('_loop', '_state')

    def __init__(self, loop: ConsensusLoop, state: ClusterState) -> None:
        self._loop = loop
        self._state = state

    def lines(self, revision: int, timeout_s: float) -> Iterator[bytes]:
        """Yield the events after a revision until the timeout.

        If the history no longer reaches back to the revision, all resources
        are sent as snapshot events first.
        """
        ends_at = boot_clock_s() + timeout_s
        idle_since = boot_clock_s()
        while boot_clock_s() < ends_at:
            lines, revision = self._next_lines(revision)
            yield from lines
            if lines:
                idle_since = boot_clock_s()
            elif boot_clock_s() - idle_since > _KEEPALIVE_S:
                idle_since = boot_clock_s()
                yield _NEWLINE
                if not self._loop.lease_until():
                    return
            time.sleep(_POLL_S)

    def _next_lines(self, revision: int) -> tuple[list[bytes], int]:
        with self._loop.lock:
            events = self._state.events_since(revision)
            if events is not None:
                newest = max(self._state.revision, revision)
                return [_encode_line(event) for event in events], newest
            newest, resources = self._state.all_resources()
        lines = [
            _encode_line(Event(op='snapshot', resource=resource))
            for resource in resources
        ]
        return lines, newest


def _encode_line(event: Event) -> bytes:
    return orjson.dumps(event.to_wire()) + _NEWLINE
