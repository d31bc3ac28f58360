"""The members after each kind of membership change."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

from apricotcart.consensus.failures import MembershipError
from apricotcart.consensus.identity import host_name
from apricotcart.consensus.members import ChangeKind, MemberChange, Members


def apply_change(members: Members, change: MemberChange) -> Members:
    """Return the members after a change.

    A change affects at most one voter, so that any majority before it
    overlaps any majority after it.

    Raises
    ------
    MembershipError
        If the change is not valid for these members.
    """
    apply_kind = _CHANGES_BY_KIND.get(change.kind)
    if apply_kind is None:
        raise MembershipError(
            f'unknown kind of membership change {change.kind!r}'
        )
    return apply_kind(members, change)


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
    superseded = _superseded(members, change)
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


def _superseded(members: Members, change: MemberChange) -> set[str]:
    """Return earlier replacements of the same voter, or of the same host.

    They are assumed lost: a host joins anew only after its disk was lost.
    """
    name = host_name(change.node_id)
    return {
        node_id
        for node_id, replaced in members.joining.items()
        if (replaced and replaced == change.replaces)
        or host_name(node_id) == name
    }


def _promote(members: Members, change: MemberChange) -> Members:
    if change.node_id not in members.learners:
        raise MembershipError(f'{change.node_id} is not a learner')
    replaced = members.joining.get(change.node_id)
    if replaced in members.voters:
        raise MembershipError(f'{replaced} is not removed yet')
    return Members(
        voters=[*members.voters, change.node_id],
        learners=_without(members.learners, change.node_id),
        joining=_without_joining(members, change.node_id),
    )


def _retire(members: Members, change: MemberChange) -> Members:
    if change.node_id not in members.joining:
        raise MembershipError(f'{change.node_id} is not joining')
    replaced = members.joining[change.node_id]
    if members.voters == [replaced]:
        raise MembershipError('the last voter cannot be removed')
    joining = _without_joining(members, change.node_id)
    if change.node_id in members.learners:
        joining[change.node_id] = ''
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


def _without_joining(members: Members, node_id: str) -> dict[str, str]:
    return {
        joining: replaced
        for joining, replaced in members.joining.items()
        if joining != node_id
    }


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
