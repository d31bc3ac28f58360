"""Interface of the replicated log."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

WireMessage = dict[str, Any]


class ReplicatedState(ABC):
    """Replicated state as used by the other parts of a control host."""

    @abstractmethod
    def propose(self, command: WireMessage, timeout_s: float) -> WireMessage:
        """Commit a command and return the reply of the state machine.

        Raises
        ------
        NotLeaderError
            If this host does not lead; nothing was committed.
        UnavailableError
            If the outcome of the command is unknown.
        """

    @abstractmethod
    def barrier(self, timeout_s: float, *, is_settled: bool = False) -> None:
        """Wait until this host has applied all commands committed earlier.

        Parameters
        ----------
        timeout_s : float
            Time limit in seconds.
        is_settled : bool
            Whether to wait until a quorum has applied them.

        Raises
        ------
        NotLeaderError
            If this host does not lead.
        UnavailableError
            If no quorum answered in time.
        """

    @abstractmethod
    def lease_until(self) -> float:
        """Return the end of this host's leader lease in s; 0 without one.

        The time is on the clock of `boot_clock_s`.
        """

    @abstractmethod
    def leader_name(self) -> str:
        """Return the name of the leading control host, or an empty string."""

    @abstractmethod
    def status(self) -> WireMessage:
        """Return role, term, leader, commit index and members."""
