"""The replicated state as the consensus node drives it."""

from __future__ import annotations

from apricotcart.consensus.api import StateMachine
from apricotcart.state.machine import ClusterState


class ReplicatedMachine(StateMachine):
    """Hands committed commands to the cluster state."""

    __slots__ = ('state',)

    def __init__(self) -> None:
        """Start with an empty state."""
        self.state = ClusterState()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command of the entry at ``index`` and give the reply."""
        return self.state.apply(index, command)

    def snapshot(self) -> bytes:
        """Give the whole state."""
        return self.state.snapshot()

    def restore(self, blob: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        self.state.restore(blob)
