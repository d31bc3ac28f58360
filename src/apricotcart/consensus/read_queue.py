"""Reads that wait for the leader to confirm its leadership."""

from __future__ import annotations

_RoundReads = tuple[int, list[int]]


class ReadQueue:
    """Groups reads and assigns each group to a heartbeat round."""

    def __init__(self) -> None:
        self.waiting: list[int] = []
        self._confirming: list[_RoundReads] = []

    def add(self, ticket: int) -> None:
        """Queue a read for the next round."""
        self.waiting.append(ticket)

    def assign_round(self, round_no: int) -> None:
        """Assign the waiting reads to a round that was opened after them."""
        if self.waiting:
            self._confirming.append((round_no, self.waiting))
            self.waiting = []

    def pop_confirmed(self, round_no: int) -> list[int]:
        """Remove and return the reads of rounds up to ``round_no``."""
        tickets: list[int] = []
        while self._confirming and self._confirming[0][0] <= round_no:
            tickets.extend(self._confirming.pop(0)[1])
        return tickets

    def drain(self) -> list[int]:
        """Remove and return all reads."""
        tickets = [ticket for _, batch in self._confirming for ticket in batch]
        tickets.extend(self.waiting)
        self._confirming = []
        self.waiting = []
        return tickets
