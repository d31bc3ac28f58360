"""State machine of the consensus node."""

from __future__ import annotations

from apricotcart.consensus.api import StateMachine
from apricotcart.state.machine import ClusterState


class ReplicatedMachine(StateMachine):
    """Applies committed commands to the cluster state."""

    __slots__ = ('state',)

    def __init__(self) -> None:
        self.state = ClusterState()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command of the entry at ``index`` and return the reply."""
        return self.state.apply(index, command)

    def snapshot(self) -> bytes:
        """Return the whole state, packed."""
        return self.state.snapshot()

    def restore(self, blob: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        self.state.restore(blob)
