"""What callers and endpoints saw of each request."""

from __future__ import annotations

import enum
import time
from collections import defaultdict
from typing import Final

_OK: Final = 200
# Time that a caller gives a request.
DEADLINE_S: Final = 2.0


class RouteName(enum.StrEnum):
    """Routes of the soak, named after their kind."""

    STREAM = 'stream'
    IDEMPOTENT = 'idempotent'
    ONCE = 'once'


class Outcome(enum.StrEnum):
    """How an attempt ended for its caller."""

    # The caller still waits.
    OPEN = 'open'
    # No connection, so that nothing was sent.
    NOT_CONNECTED = 'not connected'
    # The connection ended before the first byte of a response.
    NO_RESPONSE = 'no response'
    # The connection ended within a response.
    CUT = 'cut'
    WHOLE = 'whole'
    # The caller left at its deadline.
    ABANDONED = 'abandoned'


class Attempt:
    """One request as its caller saw it.

    Attributes
    ----------
    started_at, sent_at, ended_at : float
        When the caller wanted to send it, when its last byte was sent and when
        it ended, in seconds of the monotonic clock; 0 if that did not happen.
    """

    __slots__ = (
        'attempt_id',
        'ended_at',
        'gateway',
        'outcome',
        'parts',
        'reason',
        'route',
        'sent_at',
        'started_at',
        'status',
    )

    def __init__(self, attempt_id: str, route: RouteName, gateway: str) -> None:
        self.attempt_id = attempt_id
        self.route = route
        self.gateway = gateway
        self.started_at = time.monotonic()
        self.sent_at: float = 0
        self.ended_at: float = 0
        self.outcome = Outcome.OPEN
        self.status = 0
        self.reason = ''
        self.parts: list[bytes] = []

    def end(self, outcome: Outcome, reason: str = '') -> None:
        """Record how and when the attempt ended."""
        self.outcome = outcome
        self.reason = reason
        self.ended_at = time.monotonic()

    @property
    def is_served(self) -> bool:
        """Whether an endpoint's whole response arrived."""
        return self.outcome is Outcome.WHOLE and self.status == _OK

    @property
    def body(self) -> bytes:
        """All bytes of the body that arrived."""
        return b''.join(self.parts)


class Run:
    """One request as an endpoint received it.

    Attributes
    ----------
    ended : bool
        Whether the endpoint wrote its whole response.
    """

    __slots__ = ('attempt_id', 'ended', 'endpoint', 'received_at', 'source')

    def __init__(self, attempt_id: str, endpoint: str, source: str) -> None:
        self.attempt_id = attempt_id
        self.endpoint = endpoint
        self.source = source
        self.received_at = time.monotonic()
        self.ended = False


class Records:
    """All attempts and runs of a soak."""

    __slots__ = ('attempts', 'runs')

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.runs: defaultdict[str, list[Run]] = defaultdict(list)

    def has_served(self, gateway: str, since: float) -> bool:
        """Return whether a gateway has served a request sent after a time."""
        return any(
            attempt.is_served and attempt.sent_at > since
            for attempt in reversed(self.attempts)
            if attempt.gateway == gateway
        )

    def count(self, outcome: Outcome) -> int:
        """Return how many attempts ended in a way."""
        return sum(attempt.outcome is outcome for attempt in self.attempts)

    def add_run(self, run: Run) -> None:
        """Add a request that an endpoint received."""
        self.runs[run.attempt_id].append(run)
