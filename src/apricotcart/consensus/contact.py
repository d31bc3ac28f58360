"""Rounds of contact with the quorum: lease and read confirmation."""

from __future__ import annotations

from apricotcart.consensus.config import LEASE_S
from apricotcart.consensus.members import Members

# Rounds older than two leases neither extend a lease nor confirm a read.
_ROUND_KEPT_S = 4.0


class QuorumContact:
    """Knows when the leader last reached a quorum.

    A round opens before its messages are sent, and each reply repeats the
    round. Time is thus measured from a moment before the send, on the
    leader's clock alone.
    """

    def __init__(self, own_id: str, started_at: float) -> None:
        """Start without any contact."""
        self.own_id = own_id
        self.round_no = 0
        self.opened_at = started_at
        self._started_at = started_at
        self._sent_at: dict[int, float] = {}
        self._acknowledged: dict[str, int] = {}

    def open_round(self, now: float) -> None:
        """Open the next round."""
        self.round_no += 1
        self.opened_at = now
        self._sent_at[self.round_no] = now
        oldest = next(iter(self._sent_at))
        if self._sent_at[oldest] < now - _ROUND_KEPT_S:
            self._sent_at.pop(oldest)

    def acknowledge(self, node_id: str, round_no: int) -> None:
        """Note that a node has answered a round of this term."""
        known = self._acknowledged.get(node_id, 0)
        self._acknowledged[node_id] = max(known, round_no)

    def is_answering(self, node_id: str, now: float) -> bool:
        """Tell whether a node has answered a round within a lease."""
        sent_at = self._sent_at.get(self._acknowledged.get(node_id, 0))
        return sent_at is not None and now < sent_at + LEASE_S

    def quorum_round(self, members: Members) -> int:
        """Give the last round that a quorum has answered."""
        rounds = sorted(
            self.round_no
            if node_id == self.own_id
            else self._acknowledged.get(node_id, 0)
            for node_id in members.voters
        )
        return rounds[-members.quorum]

    def lease_until(self, members: Members) -> float:
        """Give the end of the lease in seconds, 0.0 without contact."""
        sent_at = self._sent_at.get(self.quorum_round(members))
        if sent_at is None:
            return 0
        return sent_at + LEASE_S

    def is_lost(self, now: float, members: Members) -> bool:
        """Tell whether the leader must step down for lack of contact."""
        since_start = self._started_at + LEASE_S
        return now > max(self.lease_until(members), since_start)
