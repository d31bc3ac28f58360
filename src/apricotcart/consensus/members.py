"""Cluster membership: voters, learners and membership changes."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Final

from apricotcart.codec.packing import pack, unpack
from apricotcart.codec.record import Record
from apricotcart.consensus.failures import MembershipError


class ChangeKind(enum.StrEnum):
    """Kinds of membership changes."""

    # Add a learner that is not promoted.
    ADD_LEARNER = 'add_learner'
    # Add a learner that is promoted to voter once it has caught up. The voter
    # that it replaces, if any, is removed afterwards.
    JOIN = 'join'
    REMOVE = 'remove'
    # Changes that the leader makes itself for a joining node: promote the
    # learner to voter, then remove the replaced voter.
    PROMOTE = 'promote'
    RETIRE = 'retire'


class MemberChange(Record):
    """One membership change.

    Parameters
    ----------
    kind : str
        A `ChangeKind`.
    node_id : str
        The node to add, promote or remove; for ``retire``, the replacement.
    replaces : str
        For ``join``: the voter to remove afterwards, or empty.
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
        Joining nodes, with the voter that each one replaces or an empty
        string.
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

    def with_change(self, change: MemberChange) -> Members:
        """Return the members after a change.

        A change affects at most one voter, so that any majority before it
        overlaps any majority after it.

        Raises
        ------
        MembershipError
            If the change is not valid for these members.
        """
        apply_change = _CHANGES_BY_KIND.get(change.kind)
        if apply_change is None:
            raise MembershipError(
                f'unknown kind of membership change {change.kind!r}'
            )
        return apply_change(self, change)


def _add_learner(members: Members, change: MemberChange) -> Members:
    _require_absent(members, change.node_id)
    return Members(
        voters=members.voters,
        learners=[*members.learners, change.node_id],
        joining=members.joining,
    )


def _join(members: Members, change: MemberChange) -> Members:
    _require_absent(members, change.node_id)
    if change.replaces and change.replaces not in members.voters:
        raise MembershipError(f'{change.replaces} is not a voter')
    # An earlier replacement of the same voter that was never promoted is
    # assumed lost and is removed by this change.
    superseded = {
        node_id
        for node_id, replaced in members.joining.items()
        if replaced and replaced == change.replaces
    }
    if superseded.intersection(members.voters):
        raise MembershipError(f'{change.replaces} is already being replaced')
    remaining = [node for node in members.learners if node not in superseded]
    joining = {
        node_id: replaced
        for node_id, replaced in members.joining.items()
        if node_id not in superseded
    }
    joining[change.node_id] = change.replaces
    return Members(
        voters=members.voters,
        learners=[*remaining, change.node_id],
        joining=joining,
    )


def _promote(members: Members, change: MemberChange) -> Members:
    if change.node_id not in members.learners:
        raise MembershipError(f'{change.node_id} is not a learner')
    joining = dict(members.joining)
    if joining.get(change.node_id) not in members.voters:
        joining.pop(change.node_id, None)
    return Members(
        voters=[*members.voters, change.node_id],
        learners=_without(members.learners, change.node_id),
        joining=joining,
    )


def _retire(members: Members, change: MemberChange) -> Members:
    if change.node_id not in members.joining:
        raise MembershipError(f'{change.node_id} is not joining')
    replaced = members.joining[change.node_id]
    joining = dict(members.joining)
    joining.pop(change.node_id)
    return Members(
        voters=_without(members.voters, replaced),
        learners=members.learners,
        joining=joining,
    )


def _remove(members: Members, change: MemberChange) -> Members:
    if change.node_id not in members.all_members:
        raise MembershipError(f'{change.node_id} is not a member')
    if members.voters == [change.node_id]:
        raise MembershipError('the last voter cannot be removed')
    return Members(
        voters=_without(members.voters, change.node_id),
        learners=_without(members.learners, change.node_id),
        joining={
            node_id: '' if replaced == change.node_id else replaced
            for node_id, replaced in members.joining.items()
            if node_id != change.node_id
        },
    )


def _without(nodes: list[str], node_id: str) -> list[str]:
    return [node for node in nodes if node != node_id]


def _require_absent(members: Members, node_id: str) -> None:
    if node_id in members.all_members:
        raise MembershipError(f'{node_id} is already a member')


_ApplyChange = Callable[[Members, MemberChange], Members]
_CHANGES_BY_KIND: Final[Mapping[str, _ApplyChange]] = MappingProxyType(
    {
        ChangeKind.ADD_LEARNER: _add_learner,
        ChangeKind.JOIN: _join,
        ChangeKind.REMOVE: _remove,
        ChangeKind.PROMOTE: _promote,
        ChangeKind.RETIRE: _retire,
    }
)


def voter_to_replace(members: Members, node_id: str) -> str:
    """Return the voter with the same host name as a new identity, or empty.

    A node identity is the host name, a dot and the incarnation.
    """
    name = node_id.rpartition('.')[0]
    for voter in members.voters:
        if voter != node_id and voter.rpartition('.')[0] == name:
            return voter
    return ''
