"""The steps by which a new node becomes a voter."""

from __future__ import annotations

from collections.abc import Mapping

from apricotcart.consensus.config import CATCH_UP_LAG_ENTRIES, LEASE_S
from apricotcart.consensus.contact import QuorumContact
from apricotcart.consensus.core import Core
from apricotcart.consensus.members import ChangeKind, MemberChange
from apricotcart.consensus.progress import Progress


def next_step(
    core: Core,
    contact: QuorumContact,
    progress: Mapping[str, Progress],
) -> MemberChange | None:
    """Give the next change for a node that joins, if one can be made.

    The state of a replacement lives in the members entry, so that a new
    leader goes on with it.
    """
    history = core.log.history
    if history.index > core.commit_index:
        return None
    for node_id, peer in progress.items():
        kind = _step_of(core, contact, node_id, peer)
        if kind is not None:
            return MemberChange(kind=kind, node_id=node_id)
    return None


def is_caught_up(
    core: Core,
    contact: QuorumContact,
    node_id: str,
    peer: Progress,
) -> bool:
    """Tell whether a learner is close to the leader and answers it."""
    lag = core.commit_index - peer.match
    silent_s = core.now - contact.acknowledged_at(node_id)
    return lag <= CATCH_UP_LAG_ENTRIES and silent_s < LEASE_S


def _step_of(
    core: Core,
    contact: QuorumContact,
    node_id: str,
    peer: Progress,
) -> str | None:
    history = core.log.history
    replaced = history.members.joining.get(node_id)
    if replaced is None:
        return None
    if node_id in history.members.learners:
        is_ready = is_caught_up(core, contact, node_id, peer)
        return ChangeKind.PROMOTE if is_ready else None
    # The voter is removed once its replacement holds the entry that made
    # it a voter.
    has_joined = bool(replaced) and peer.match >= history.index
    return ChangeKind.RETIRE if has_joined else None
