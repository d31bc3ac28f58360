"""Election timer and vote guard of one node."""

from __future__ import annotations

from apricotcart.consensus.api import Role
from apricotcart.consensus.config import (
    ELECTION_AFTER_GRANT_S,
    ELECTION_RETRY_MAX_S,
    ELECTION_RETRY_MIN_S,
    ELECTION_TIMEOUT_MAX_S,
    ELECTION_TIMEOUT_MIN_S,
    VOTE_GUARD_S,
)
from apricotcart.consensus.core import Core


class ElectionTimer:
    """Schedules election attempts."""

    def __init__(self, core: Core) -> None:
        """Initialize without a deadline; `start` sets it."""
        self.core = core
        self.deadline: float = 0
        self.votes_granted: set[str] = set()

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
        core.vote_guard_until = core.now + VOTE_GUARD_S
        self.deadline = core.now + core.rng.uniform(
            ELECTION_TIMEOUT_MIN_S,
            ELECTION_TIMEOUT_MAX_S,
        )

    def schedule_retry(self) -> None:
        """Schedule the next attempt after one that may have failed."""
        self.deadline = self.core.now + self.core.rng.uniform(
            ELECTION_RETRY_MIN_S,
            ELECTION_RETRY_MAX_S,
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
        self.votes_granted.clear()
