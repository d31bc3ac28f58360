"""Record of what clients saw, checked while it is written."""

from __future__ import annotations

from apricotcart.codec.packing import pack, unpack
from apricotcart.consensus.api import StateMachine


class History:
    """Checks that all hosts and clients see one list of writes.

    Attributes
    ----------
    agreed : list of bytes
        The writes in the order in which hosts applied them.
    floor : int
        Length of the list that some client has seen already.
    """

    def __init__(self) -> None:
        self.agreed: list[bytes] = []
        self.seen: set[bytes] = set()
        self.floor = 0
        self.acknowledged: dict[bytes, int] = {}
        self.reads = 0
        self.leaders: dict[int, str] = {}

    def applied(self, position: int, write: bytes) -> None:
        """Check that every host applies the same write at a position."""
        if position <= len(self.agreed):
            assert self.agreed[position - 1] == write, 'hosts diverge'
            return
        assert position == len(self.agreed) + 1, 'a write was skipped'
        assert write not in self.seen, 'a write was applied twice'
        self.agreed.append(write)
        self.seen.add(write)

    def restored(self, writes: list[bytes]) -> None:
        """Check a snapshot against the writes that hosts applied."""
        assert self.agreed[: len(writes)] == writes, 'snapshot diverges'

    def write_done(self, write: bytes, position: int, floor: int) -> None:
        """Check an acknowledged write against what was seen before it."""
        assert self.agreed[position - 1] == write, 'wrong reply'
        assert position > floor, 'a write went back'
        self.acknowledged[write] = position
        self.floor = max(self.floor, position)

    def read_done(self, length: int, floor: int) -> None:
        """Check a read against what was seen before it was asked."""
        assert length >= floor, 'a read went back'
        self.reads += 1
        self.floor = max(self.floor, length)

    def led(self, term: int, node_id: str) -> None:
        """Check that a term has one leader."""
        leader = self.leaders.setdefault(term, node_id)
        assert leader == node_id, f'two leaders in term {term}'

    def check_end(self, writes: list[bytes]) -> None:
        """Check that a host holds every acknowledged write."""
        for write, position in self.acknowledged.items():
            held = writes[position - 1 : position]
            assert held == [write], 'an acknowledged write is lost'


class ListMachine(StateMachine):
    """Appends each command to a list; the reply is its length."""

    def __init__(self, history: History) -> None:
        self.history = history
        self.writes: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.writes.append(command)
        self.history.applied(len(self.writes), command)
        return pack(len(self.writes))

    def snapshot(self) -> bytes:
        return pack(self.writes)

    def restore(self, blob: bytes) -> None:
        self.writes = unpack(blob)
        self.history.restored(self.writes)
