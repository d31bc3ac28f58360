"""Membership changes that turn a joining node into a voter."""

from __future__ import annotations

from collections.abc import Mapping

from apricotcart.consensus.config import CATCH_UP_LAG_ENTRIES
from apricotcart.consensus.core import Core
from apricotcart.consensus.members import ChangeKind, MemberChange
from apricotcart.consensus.progress import Progress
from apricotcart.consensus.quorum_contact import QuorumContact


def next_membership_change(
    core: Core,
    contact: QuorumContact,
    progress: Mapping[str, Progress],
) -> MemberChange | None:
    """Return the next change for a joining node, or None if none is possible.

    The progress of a replacement is part of the replicated members, so that
    a new leader continues it.
    """
    history = core.log.history
    if history.index > core.commit_index:
        return None
    for node_id in history.members.joining:
        kind = _next_change_kind(core, contact, node_id, progress.get(node_id))
        if kind is not None:
            return MemberChange(kind=kind, node_id=node_id)
    return None


def is_caught_up(
    core: Core,
    contact: QuorumContact,
    node_id: str,
    peer: Progress,
) -> bool:
    """Return whether a learner is responsive and has nearly the whole log.

    It must have at least the entry that set the current members, however
    short the log is.
    """
    lag = core.commit_index - peer.match_index
    if lag > CATCH_UP_LAG_ENTRIES or peer.match_index < core.log.history.index:
        return False
    return contact.is_responsive(node_id, core.now)


def _next_change_kind(
    core: Core,
    contact: QuorumContact,
    node_id: str,
    peer: Progress | None,
) -> str | None:
    members = core.log.history.members
    is_learner = node_id in members.learners
    if is_learner:
        is_ready = peer is not None and is_caught_up(
            core, contact, node_id, peer
        )
        if not is_ready:
            return None
    if members.joining[node_id] in members.voters:
        return ChangeKind.RETIRE
    return ChangeKind.PROMOTE if is_learner else None
