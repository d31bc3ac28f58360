"""Interface between the replicated log and what uses it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

WireMessage = dict[str, Any]


class ReplicatedState(ABC):
    """The replicated state as the rest of a control host uses it."""

    @abstractmethod
    def propose(self, command: WireMessage, timeout_s: float) -> WireMessage:
        """Commit a command and give the reply of the state machine.

        Raises
        ------
        NotLeaderError
            If this host does not lead; nothing was done.
        UnavailableError
            If the command may or may not be committed.
        """

    @abstractmethod
    def barrier(self, timeout_s: float) -> None:
        """Wait until this host holds everything committed before the call.

        Raises
        ------
        NotLeaderError
            If this host does not lead.
        UnavailableError
            If a quorum could not be reached in time.
        """

    @abstractmethod
    def lease_until(self) -> float:
        """Give the end of the leader's lease on the monotonic clock, s."""

    @abstractmethod
    def leader_name(self) -> str:
        """Give the name of the leading control host, or an empty string."""

    @abstractmethod
    def status(self) -> WireMessage:
        """Give role, term, members and positions."""
