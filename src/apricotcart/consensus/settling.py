"""Waits until a quorum has applied what is committed."""

from __future__ import annotations

from typing import Final

from apricotcart.consensus.members import Members

# Rounds whose replies may still arrive; older ones are dropped.
_MAX_ROUNDS: Final = 512


class Settling:
    """Entries that each follower has applied, and who waits for them.

    A follower applies what a message names as committed before it replies,
    and each message of a round names at least what was committed when the
    round was opened.

    Parameters
    ----------
    own_id : str
        Identity of this node, which leads.

    Attributes
    ----------
    needs_round : bool
        Whether a new round would tell followers what someone waits for.
    """

    __slots__ = (
        '_applied',
        '_committed_by_round',
        '_own_id',
        '_waiting',
        'needs_round',
    )

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._applied: dict[str, int] = {}
        self._committed_by_round: dict[int, int] = {}
        self._waiting: list[tuple[int, int]] = []
        self.needs_round = False

    def add(self, ticket: int, index: int) -> None:
        """Let a ticket wait until a quorum has applied an entry."""
        self._waiting.append((index, ticket))
        self.needs_round = True

    def on_round(self, round_no: int, commit_index: int) -> None:
        """Record what is committed when a round is opened."""
        self._committed_by_round[round_no] = commit_index
        if len(self._committed_by_round) > _MAX_ROUNDS:
            oldest = next(iter(self._committed_by_round))
            self._committed_by_round.pop(oldest)
        self.needs_round = False

    def on_accepted(
        self, node_id: str, round_no: int, match_index: int
    ) -> None:
        """Record the reply of a follower whose log matches up to an index."""
        committed = self._committed_by_round.get(round_no, 0)
        applied = min(committed, match_index)
        self._applied[node_id] = max(self._applied.get(node_id, 0), applied)

    def pop_settled(self, members: Members, own_index: int) -> list[int]:
        """Remove and return the tickets whose entries a quorum has applied.

        Parameters
        ----------
        members : Members
            Current members.
        own_index : int
            Index of the last entry that this node has applied.
        """
        if not self._waiting:
            return []
        applied = {**self._applied, self._own_id: own_index}
        indexes = sorted(applied.get(node_id, 0) for node_id in members.voters)
        settled = indexes[-members.quorum]
        tickets = [
            ticket for index, ticket in self._waiting if index <= settled
        ]
        self._waiting = [
            (index, ticket)
            for index, ticket in self._waiting
            if index > settled
        ]
        return tickets

    def drain(self) -> list[int]:
        """Remove and return all tickets."""
        tickets = [ticket for _, ticket in self._waiting]
        self._waiting = []
        return tickets
