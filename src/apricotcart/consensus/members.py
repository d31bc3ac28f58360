"""Cluster membership: voters, learners and joining nodes."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from apricotcart.codec.packing import pack, unpack
from apricotcart.codec.record import Record
from apricotcart.consensus.identity import host_name


class ChangeKind(enum.StrEnum):
    """Kinds of membership changes."""

    # Add a learner that is not promoted.
    ADD_LEARNER = 'add_learner'
    # Add a learner that becomes a voter once it has caught up. The voter that
    # it replaces, if any, is removed first.
    JOIN = 'join'
    REMOVE = 'remove'
    # Changes that the leader makes itself for a joining node: remove the
    # replaced voter, then promote the learner to voter. In this order, a host
    # that is lost again never has two voters that do not answer.
    RETIRE = 'retire'
    PROMOTE = 'promote'


class MemberChange(Record):
    """One membership change.

    Parameters
    ----------
    kind : str
        A `ChangeKind`.
    node_id : str
        The node to add, promote or remove; for ``retire``, the replacement.
    replaces : str
        For ``join``: the voter to remove before the promotion, or empty.
    """

    __slots__ = ('kind', 'node_id', 'replaces')

    def __init__(self, *, kind: str, node_id: str, replaces: str = '') -> None:
        self.kind = kind
        self.node_id = node_id
        self.replaces = replaces


class Members(Record):
    """Voters, learners that only receive the log, and joining nodes.

    Attributes
    ----------
    voters, learners : list of str
        Sorted node identities.
    joining : dict of str to str
        Joining nodes, with the voter that each one replaces. It is an empty
        string if there is none or it has been removed.
    """

    __slots__ = ('joining', 'learners', 'voters')

    def __init__(
        self,
        *,
        voters: Iterable[str] = (),
        learners: Iterable[str] = (),
        joining: Mapping[str, str] | None = None,
    ) -> None:
        self.voters = sorted(voters)
        self.learners = sorted(learners)
        self.joining = dict(joining or {})

    @classmethod
    def from_bytes(cls, blob: bytes) -> Members:
        """Decode the payload of a members entry."""
        return cls.from_wire(unpack(blob))

    def to_bytes(self) -> bytes:
        """Encode as the payload of a members entry."""
        return pack(self.to_wire())

    @property
    def quorum(self) -> int:
        """Number of voters in a majority."""
        return len(self.voters) // 2 + 1

    @property
    def all_members(self) -> list[str]:
        """All voters and learners."""
        return self.voters + self.learners


def voter_to_replace(members: Members, node_id: str) -> str:
    """Return the voter with the same host name as a new identity, or empty."""
    name = host_name(node_id)
    for voter in members.voters:
        if voter != node_id and host_name(voter) == name:
            return voter
    return ''
