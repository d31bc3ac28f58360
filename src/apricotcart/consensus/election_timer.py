"""Election timer and vote guard of one node."""

from __future__ import annotations

from apricotcart.consensus.api import Role
from apricotcart.consensus.config import (
    ELECTION_AFTER_GRANT_S,
    ELECTION_RETRY_MAX_FACTOR,
    ELECTION_RETRY_MAX_S,
    ELECTION_RETRY_MIN_S,
    ELECTION_TIMEOUT_MAX_S,
    ELECTION_TIMEOUT_MIN_S,
    VOTE_GUARD_S,
)
from apricotcart.consensus.core import Core


class ElectionTimer:
    """Schedules election attempts.

    Attributes
    ----------
    deadline : float
        Time of the next attempt, in seconds.
    pre_votes : set of str
        Nodes that granted a pre-vote in the current attempt.
    votes : set of str
        Nodes that granted their vote in the current term.
    """

    def __init__(self, core: Core) -> None:
        """Initialize without a deadline; `start` sets it."""
        self.core = core
        self.deadline: float = 0
        self.pre_votes: set[str] = set()
        self.votes: set[str] = set()
        self._retry_factor = 1

    def start(self) -> None:
        """Start the timer at the first event after the process started.

        The node may have acknowledged a heartbeat right before it stopped,
        so it restarts the full vote guard. A node without a term cannot
        have acknowledged any.
        """
        if self.core.term and self.core.cfg.guards_restart:
            self.on_leader_contact()
        else:
            self.schedule_retry()

    def on_leader_contact(self) -> None:
        """Restart the election timer and the vote guard."""
        core = self.core
        core.leader_heard_at = core.now
        self._retry_factor = 1
        core.vote_guard_until = core.now + VOTE_GUARD_S
        self.deadline = core.now + core.rng.uniform(
            ELECTION_TIMEOUT_MIN_S,
            ELECTION_TIMEOUT_MAX_S,
        )

    def schedule_retry(self) -> None:
        """Schedule the next attempt after one that may have failed."""
        delay_s = self.core.rng.uniform(
            ELECTION_RETRY_MIN_S,
            ELECTION_RETRY_MAX_S,
        )
        self.deadline = self.core.now + self._retry_factor * delay_s

    def back_off(self) -> None:
        """Leave more time to further attempts until a leader makes contact."""
        self._retry_factor = min(
            2 * self._retry_factor, ELECTION_RETRY_MAX_FACTOR
        )

    def wait_after_grant(self) -> None:
        """Schedule the next attempt after a vote for another node."""
        self.schedule_retry()
        self.deadline += ELECTION_AFTER_GRANT_S

    def become_follower(self, term: int, leader_id: str) -> None:
        """Become a follower in a term."""
        core = self.core
        if term > core.term:
            core.save_vote(term, '')
        core.role = Role.FOLLOWER
        core.leader_id = leader_id
        self.pre_votes.clear()
        self.votes.clear()
