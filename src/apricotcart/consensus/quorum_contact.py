"""Heartbeat rounds to the quorum, for the lease and read confirmation."""

from __future__ import annotations

from apricotcart.consensus.config import LEASE_S
from apricotcart.consensus.members import Members

# Two leases. Send times of older rounds are dropped; they cannot extend a
# lease.
_ROUND_RETENTION_S = 4.0


class QuorumContact:
    """Tracks which heartbeat rounds a quorum has acknowledged.

    A round is opened before its messages are sent, and each reply repeats
    the round number. The lease is thus measured from before the send, on the
    leader's clock only.
    """

    def __init__(self, own_id: str, started_at: float) -> None:
        """Initialize without any acknowledged round."""
        self.own_id = own_id
        self.round_no = 0
        self.round_opened_at = started_at
        self._started_at = started_at
        self._sent_at: dict[int, float] = {}
        self._acknowledged_rounds: dict[str, int] = {}

    def open_round(self, now: float) -> None:
        """Open the next round."""
        self.round_no += 1
        self.round_opened_at = now
        self._sent_at[self.round_no] = now
        oldest = next(iter(self._sent_at))
        if self._sent_at[oldest] < now - _ROUND_RETENTION_S:
            self._sent_at.pop(oldest)

    def acknowledge(self, node_id: str, round_no: int) -> None:
        """Record that a node has acknowledged a round of this term."""
        last_round = self._acknowledged_rounds.get(node_id, 0)
        self._acknowledged_rounds[node_id] = max(last_round, round_no)

    def is_responsive(self, node_id: str, now: float) -> bool:
        """Return whether a node has acknowledged a round of the last lease."""
        sent_at = self._sent_at.get(self._acknowledged_rounds.get(node_id, 0))
        return sent_at is not None and now < sent_at + LEASE_S

    def last_quorum_round(self, members: Members) -> int:
        """Return the last round that a quorum has acknowledged."""
        rounds = sorted(
            self.round_no
            if node_id == self.own_id
            else self._acknowledged_rounds.get(node_id, 0)
            for node_id in members.voters
        )
        return rounds[-members.quorum]

    def lease_expires_at(self, members: Members) -> float:
        """Return the end of the lease in seconds, 0.0 if there is none."""
        sent_at = self._sent_at.get(self.last_quorum_round(members))
        if sent_at is None:
            return 0
        return sent_at + LEASE_S

    def has_lost_quorum(self, now: float, members: Members) -> bool:
        """Return whether the leader must step down for lack of a quorum."""
        initial_lease_end = self._started_at + LEASE_S
        return now > max(self.lease_expires_at(members), initial_lease_end)
