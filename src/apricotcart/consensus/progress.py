"""What the leader knows about the log of one follower."""

from __future__ import annotations

import enum
from collections import deque

from apricotcart.consensus.api import Snapshot
from apricotcart.consensus.config import MAX_APPENDS_IN_FLIGHT


class Pace(enum.StrEnum):
    """How the leader sends to a follower."""

    # One message at a time, until the logs are known to match.
    PROBE = 'probe'
    # Several messages in flight.
    REPLICATE = 'replicate'
    # One chunk of a snapshot at a time.
    SNAPSHOT = 'snapshot'


class Progress:
    """Position of one follower.

    Attributes
    ----------
    match : int
        Last entry known to be durable at the follower.
    upcoming : int
        Next entry to send.
    in_flight : deque of int
        Last index of each message with entries that is not answered yet.
    """

    __slots__ = ('in_flight', 'match', 'offset', 'pace', 'snapshot', 'upcoming')

    def __init__(self, upcoming: int) -> None:
        """Start to probe at an entry."""
        self.match = 0
        self.upcoming = upcoming
        self.pace = Pace.PROBE
        self.in_flight: deque[int] = deque()
        self.snapshot: Snapshot | None = None
        self.offset = 0

    @property
    def is_paused(self) -> bool:
        """Whether an answer must arrive before more entries are sent."""
        if self.pace is Pace.REPLICATE:
            return len(self.in_flight) >= MAX_APPENDS_IN_FLIGHT
        return self.pace is Pace.SNAPSHOT or bool(self.in_flight)

    def sent(self, last_index: int) -> None:
        """Note a message with entries up to ``last_index``."""
        self.in_flight.append(last_index)
        if self.pace is Pace.REPLICATE:
            self.upcoming = last_index + 1

    def accepted(self, match: int) -> None:
        """Note that the follower holds the entries up to ``match``."""
        self.match = max(self.match, match)
        if self.pace is Pace.SNAPSHOT:
            if self.snapshot and self.match < self.snapshot.index:
                return
            self.snapshot = None
        self.pace = Pace.REPLICATE
        self.upcoming = max(self.upcoming, self.match + 1)
        while self.in_flight and self.in_flight[0] <= self.match:
            self.in_flight.popleft()

    def rejected(self, prev_index: int, may_match: int) -> bool:
        """Move back to where the logs may match; False if out of date."""
        if self.pace is Pace.SNAPSHOT or prev_index <= self.match:
            return False
        if self.pace is Pace.PROBE and prev_index != self.upcoming - 1:
            return False
        self.pace = Pace.PROBE
        self.in_flight.clear()
        last_match = min(prev_index - 1, may_match)
        self.upcoming = max(self.match, last_match) + 1
        return True

    def start_snapshot(self, snapshot: Snapshot) -> None:
        """Send a snapshot before any further entries."""
        self.pace = Pace.SNAPSHOT
        self.in_flight.clear()
        self.snapshot = snapshot
        self.offset = 0
