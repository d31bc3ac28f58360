"""Policy that removes unresponsive voters of the replicated log."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from apricotcart.consensus.members import ChangeKind, MemberChange, Members

# A voter that does not answer for this long may be lost for good. Restarts
# and short partitions end sooner.
_UNRESPONSIVE_S: Final = 4.0
# The policy never leaves fewer voters than this.
_MIN_VOTERS: Final = 3


class MemberPolicy:
    """Removes unresponsive voters if that makes the quorum smaller.

    With an even number of voters the quorum is larger than with one voter
    fewer, yet the cluster tolerates no more failures. An even number results
    when a host is replaced by one with another name.
    """

    __slots__ = ('_unresponsive_since',)

    def __init__(self) -> None:
        self._unresponsive_since: dict[str, float] = {}

    def reset(self) -> None:
        """Clear the observations because this host does not lead."""
        self._unresponsive_since.clear()

    def next_change(
        self,
        now: float,
        members: Members,
        answering: Collection[str],
    ) -> MemberChange | None:
        """Return the membership change to make now, or None.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        members : Members
            Current members.
        answering : collection of str
            Members that answer the leader.
        """
        self._update_unresponsive(now, members, answering)
        is_even = len(members.voters) % 2 == 0
        if not is_even or len(members.voters) <= _MIN_VOTERS:
            return None
        expired = [
            node_id
            for node_id, since in self._unresponsive_since.items()
            if now >= since + _UNRESPONSIVE_S
        ]
        if not set(members.joining).issubset(expired):
            # A joining host may soon be a voter, or replace one.
            return None
        voters = [node_id for node_id in expired if node_id in members.voters]
        if not voters:
            return None
        oldest = min(voters, key=self._unresponsive_since.__getitem__)
        return MemberChange(kind=ChangeKind.REMOVE, node_id=oldest)

    def _update_unresponsive(
        self,
        now: float,
        members: Members,
        answering: Collection[str],
    ) -> None:
        self._unresponsive_since = {
            node_id: self._unresponsive_since.get(node_id, now)
            for node_id in members.all_members
            if node_id not in answering
        }
