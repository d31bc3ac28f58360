"""Status of a node."""

from __future__ import annotations

from apricotcart.consensus.api import Role
from apricotcart.consensus.core import Core
from apricotcart.consensus.members import Members
from apricotcart.consensus.replica import Replica


class NodeStatus:
    """Read-only view of a node."""

    def __init__(self, core: Core, replica: Replica) -> None:
        self._core = core
        self._replica = replica

    @property
    def role(self) -> Role:
        """Current role."""
        core = self._core
        if core.role is Role.FOLLOWER and not core.is_voter:
            return Role.LEARNER
        return core.role

    @property
    def term(self) -> int:
        """The current term."""
        return self._core.term

    @property
    def leader_id(self) -> str:
        """Identity of the leader, or an empty string if unknown."""
        return self._core.leader_id

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed, and applied."""
        return self._core.commit_index

    @property
    def members(self) -> Members:
        """Current members."""
        return self._core.log.history.members

    @property
    def members_index(self) -> int:
        """Index of the log entry that set the current members."""
        return self._core.log.history.index

    @property
    def committed_members(self) -> Members:
        """Members that the last committed entry about them has set."""
        core = self._core
        return core.log.history.at(core.commit_index)

    @property
    def is_recovered(self) -> bool:
        """Whether this node has applied all that it ever applied."""
        core = self._core
        if core.role in {Role.SUSPENDED, Role.FAILED}:
            return False
        return core.commit_index >= core.loaded_index

    def responsive_members(self) -> list[str]:
        """Return the members that respond to this node if it is the leader.

        The list is empty on any other node.
        """
        leadership = self._replica.leadership
        if leadership is None:
            return []
        own_id = self._core.cfg.node_id
        return [
            node_id
            for node_id in self.members.all_members
            if node_id == own_id
            or leadership.contact.is_responsive(node_id, self._core.now)
        ]

    def lease_expires_at(self) -> float:
        """Return the end of the leader's lease in seconds.

        The lease is 0.0 unless this node leads, has committed an entry of its
        term and has been acknowledged by a quorum. The caller must compare it
        with the clock right before it relies on the lease.
        """
        leadership = self._replica.leadership
        if leadership is None or not leadership.is_established:
            return 0
        return leadership.lease_expires_at()
