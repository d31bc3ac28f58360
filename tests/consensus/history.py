"""History of client requests, checked for consistency on each event."""

from __future__ import annotations

from apricotcart.codec.packing import pack, unpack
from apricotcart.consensus.api import StateMachine


class History:
    """Checks that all hosts and clients see the same list of writes.

    Attributes
    ----------
    applied_writes : list of bytes
        The writes in the order in which hosts applied them.
    min_length : int
        Length of the list that some client has already seen.
    """

    def __init__(self) -> None:
        self.applied_writes: list[bytes] = []
        self.applied_set: set[bytes] = set()
        self.min_length = 0
        self.acknowledged: dict[bytes, int] = {}
        self.reads = 0
        self.leaders: dict[int, str] = {}

    def record_applied(self, position: int, write: bytes) -> None:
        """Check that every host applies the same write at a position."""
        if position <= len(self.applied_writes):
            assert self.applied_writes[position - 1] == write, 'hosts diverge'
            return
        assert position == len(self.applied_writes) + 1, 'a write was skipped'
        assert write not in self.applied_set, 'a write was applied twice'
        self.applied_writes.append(write)
        self.applied_set.add(write)

    def check_restored(self, writes: list[bytes]) -> None:
        """Check a snapshot against the applied writes."""
        assert self.applied_writes[: len(writes)] == writes, 'snapshot diverges'

    def record_write(
        self, write: bytes, position: int, min_length: int
    ) -> None:
        """Check an acknowledged write against ``min_length`` at its start."""
        assert self.applied_writes[position - 1] == write, 'wrong reply'
        assert position > min_length, 'a write is ordered before an earlier one'
        self.acknowledged[write] = position
        self.min_length = max(self.min_length, position)

    def record_read(self, length: int, min_length: int) -> None:
        """Check a read against ``min_length`` at its start."""
        assert length >= min_length, 'stale read'
        self.reads += 1
        self.min_length = max(self.min_length, length)

    def record_leader(self, term: int, node_id: str) -> None:
        """Check that a term has only one leader."""
        leader = self.leaders.setdefault(term, node_id)
        assert leader == node_id, f'two leaders in term {term}'

    def check_end(self, writes: list[bytes]) -> None:
        """Check that a host has every acknowledged write."""
        for write, position in self.acknowledged.items():
            found = writes[position - 1 : position]
            assert found == [write], 'an acknowledged write is lost'


class ListMachine(StateMachine):
    """Appends each command to a list; the reply is the new length."""

    def __init__(self, history: History) -> None:
        self.history = history
        self.writes: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.writes.append(command)
        self.history.record_applied(len(self.writes), command)
        return pack(len(self.writes))

    def snapshot(self) -> bytes:
        return pack(self.writes)

    def restore(self, blob: bytes) -> None:
        self.writes = unpack(blob)
        self.history.check_restored(self.writes)
