"""Logs the elections that a control host takes part in."""

from __future__ import annotations

from apricotcart.consensus.api import Role
from apricotcart.consensus.identity import host_name
from apricotcart.observability.decisions import ROLE_CHANGED, log_decision


class RoleReporter:
    """Logs each change of the role of this host, or of the leader it knows."""

    __slots__ = ('_changed_at', '_last')

    def __init__(self) -> None:
        self._last = (Role.FOLLOWER, '')
        self._changed_at: float = 0

    def observe(
        self, now: float, role: Role, term: int, leader_id: str
    ) -> None:
        """Compare what the consensus node knows with the last time.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        role : Role
            Role of the node.
        term : int
            Term of the node.
        leader_id : str
            Identity of the leader, or empty.
        """
        current = (role, leader_id)
        if current == self._last:
            return
        log_decision(
            ROLE_CHANGED,
            role=str(role),
            term=term,
            leader=host_name(leader_id),
            duration_s=now - self._changed_at if self._changed_at else None,
        )
        self._last = current
        self._changed_at = now
