"""Replication progress of one follower, as tracked by the leader."""

from __future__ import annotations

import enum
from collections import deque

from apricotcart.consensus.api import Snapshot
from apricotcart.consensus.config import MAX_APPENDS_IN_FLIGHT


class ProgressState(enum.StrEnum):
    """Mode in which the leader sends to a follower."""

    # One message in flight, until the logs are known to match.
    PROBE = 'probe'
    # Several messages in flight.
    REPLICATE = 'replicate'
    # One snapshot chunk in flight.
    SNAPSHOT = 'snapshot'


class Progress:
    """Replication progress of one follower.

    Attributes
    ----------
    match_index : int
        Index of the last entry known to be durable at the follower.
    next_index : int
        Index of the next entry to send.
    in_flight : deque of int
        Last index of each unacknowledged message with entries.
    snapshot : Snapshot or None
        Snapshot that is being sent.
    snapshot_offset : int
        Offset of the chunk of the snapshot in flight, in bytes.
    """

    __slots__ = (
        'in_flight',
        'match_index',
        'snapshot_offset',
        'state',
        'snapshot',
        'next_index',
    )

    def __init__(self, next_index: int) -> None:
        """Initialize in probe state at an index."""
        self.match_index = 0
        self.next_index = next_index
        self.state = ProgressState.PROBE
        self.in_flight: deque[int] = deque()
        self.snapshot: Snapshot | None = None
        self.snapshot_offset = 0

    @property
    def is_paused(self) -> bool:
        """Whether more entries may be sent only after a reply."""
        if self.state is ProgressState.REPLICATE:
            return len(self.in_flight) >= MAX_APPENDS_IN_FLIGHT
        return self.state is ProgressState.SNAPSHOT or bool(self.in_flight)

    def record_sent(self, last_index: int) -> None:
        """Record a sent message with entries up to ``last_index``."""
        self.in_flight.append(last_index)
        if self.state is ProgressState.REPLICATE:
            self.next_index = last_index + 1

    def record_accepted(self, match_index: int) -> None:
        """Record that the follower has the entries up to ``match_index``."""
        self.match_index = max(self.match_index, match_index)
        if self.state is ProgressState.SNAPSHOT:
            if self.snapshot and self.match_index < self.snapshot.index:
                return
            self.snapshot = None
        self.state = ProgressState.REPLICATE
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()

    def record_rejected(
        self, prev_index: int, last_possible_match: int
    ) -> bool:
        """Move back to where the logs may match.

        Return False for an outdated reply, which changes nothing.
        """
        if (
            self.state is ProgressState.SNAPSHOT
            or prev_index <= self.match_index
        ):
            return False
        if (
            self.state is ProgressState.PROBE
            and prev_index != self.next_index - 1
        ):
            return False
        self.state = ProgressState.PROBE
        self.in_flight.clear()
        last_match = min(prev_index - 1, last_possible_match)
        self.next_index = max(self.match_index, last_match) + 1
        return True

    def start_snapshot(self, snapshot: Snapshot) -> None:
        """Switch to sending a snapshot."""
        self.state = ProgressState.SNAPSHOT
        self.in_flight.clear()
        self.snapshot = snapshot
        self.snapshot_offset = 0
