"""Voters and learners, and the changes between two sets of them."""

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

    # A learner that stays a learner.
    ADD_LEARNER = 'add_learner'
    # A learner that becomes a voter once it has caught up; the voter that
    # it replaces, if any, is removed after that.
    JOIN = 'join'
    REMOVE = 'remove'
    # The two changes that a leader makes itself for a node that joins.
    PROMOTE = 'promote'
    RETIRE = 'retire'


class MemberChange(Record):
    """One membership change.

    Parameters
    ----------
    kind : str
        A `ChangeKind`.
    node_id : str
        The node that is added, promoted or removed.
    replaces : str
        For ``join``: the voter to remove afterwards, or empty.
    """

    __slots__ = ('kind', 'node_id', 'replaces')

    def __init__(self, *, kind: str, node_id: str, replaces: str = '') -> None:
        """Keep the fields."""
        self.kind = kind
        self.node_id = node_id
        self.replaces = replaces


class Members(Record):
    """Who votes, who only receives the log, and who is about to vote.

    Attributes
    ----------
    voters, learners : list of str
        Identities, sorted.
    joining : dict of str to str
        Nodes that join, with the voter that each replaces or an empty
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
        """Keep the fields."""
        self.voters = sorted(voters)
        self.learners = sorted(learners)
        self.joining = dict(joining or {})

    @classmethod
    def from_bytes(cls, blob: bytes) -> Members:
        """Decode the payload of a log entry."""
        return cls.from_wire(unpack(blob))

    def to_bytes(self) -> bytes:
        """Encode as the payload of a log entry."""
        return pack(self.to_wire())

    @property
    def quorum(self) -> int:
        """Smallest number of voters that is a majority."""
        return len(self.voters) // 2 + 1

    @property
    def everyone(self) -> list[str]:
        """Voters and learners."""
        return self.voters + self.learners

    def after(self, change: MemberChange) -> Members:
        """Give the members after the change.

        At most one voter differs, so that any two majorities before and
        after the change overlap.

        Raises
        ------
        MembershipError
            If the change does not fit these members.
        """
        step = _STEPS.get(change.kind)
        if step is None:
            raise MembershipError(f'unknown change {change.kind!r}')
        return step(self, change)


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
    # An earlier replacement of the same voter that never became a voter
    # has been lost itself and is dropped with this change.
    stale = {
        node_id
        for node_id, replaced in members.joining.items()
        if replaced and replaced == change.replaces
    }
    if stale.intersection(members.voters):
        raise MembershipError(f'{change.replaces} is being replaced already')
    kept = [node for node in members.learners if node not in stale]
    joining = {
        node_id: replaced
        for node_id, replaced in members.joining.items()
        if node_id not in stale
    }
    joining[change.node_id] = change.replaces
    return Members(
        voters=members.voters,
        learners=[*kept, change.node_id],
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
    if change.node_id not in members.everyone:
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
    if node_id in members.everyone:
        raise MembershipError(f'{node_id} is a member already')


_Step = Callable[[Members, MemberChange], Members]
_STEPS: Final[Mapping[str, _Step]] = MappingProxyType(
    {
        ChangeKind.ADD_LEARNER: _add_learner,
        ChangeKind.JOIN: _join,
        ChangeKind.REMOVE: _remove,
        ChangeKind.PROMOTE: _promote,
        ChangeKind.RETIRE: _retire,
    }
)


def voter_to_replace(members: Members, node_id: str) -> str:
    """Give the voter with the host name of a new identity, or empty.

    An identity is the name of the host, a dot and its incarnation.
    """
    name = node_id.rpartition('.')[0]
    for voter in members.voters:
        if voter != node_id and voter.rpartition('.')[0] == name:
            return voter
    return ''
