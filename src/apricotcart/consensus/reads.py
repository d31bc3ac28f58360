"""Reads that wait until the leader has confirmed itself."""

from __future__ import annotations

_Batch = tuple[int, list[int]]


class ReadQueue:
    """Collects reads and ties each batch to one round of contact."""

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: list[int] = []
        self._confirming: list[_Batch] = []

    def add(self, ticket: int) -> None:
        """Take a read for the next round."""
        self.waiting.append(ticket)

    def assign(self, round_no: int) -> None:
        """Tie the waiting reads to a round that opens after them."""
        if self.waiting:
            self._confirming.append((round_no, self.waiting))
            self.waiting = []

    def confirmed(self, round_no: int) -> list[int]:
        """Take out the reads whose round a quorum has answered."""
        done: list[int] = []
        while self._confirming and self._confirming[0][0] <= round_no:
            done.extend(self._confirming.pop(0)[1])
        return done

    def drain(self) -> list[int]:
        """Take out all reads."""
        tickets = [ticket for _, batch in self._confirming for ticket in batch]
        tickets.extend(self.waiting)
        self._confirming = []
        self.waiting = []
        return tickets
