"""The steps by which a new node becomes a voter."""

from __future__ import annotations

from collections.abc import Mapping

from apricotcart.consensus.config import CATCH_UP_LAG_ENTRIES
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
    for node_id in history.members.joining:
        kind = _step_of(core, contact, node_id, progress.get(node_id))
        if kind is not None:
            return MemberChange(kind=kind, node_id=node_id)
    return None


def is_caught_up(
    core: Core,
    contact: QuorumContact,
    node_id: str,
    peer: Progress,
) -> bool:
    """Tell whether a learner answers and holds nearly the whole log.

    It holds at least what was in the log when it was added, however short
    the log is.
    """
    lag = core.commit_index - peer.match
    if lag > CATCH_UP_LAG_ENTRIES or peer.match < core.log.history.index:
        return False
    return contact.is_answering(node_id, core.now)


def _step_of(
    core: Core,
    contact: QuorumContact,
    node_id: str,
    peer: Progress | None,
) -> str | None:
    history = core.log.history
    if peer is None:
        # The node that joined leads by now.
        return ChangeKind.RETIRE if node_id == core.cfg.node_id else None
    if node_id in history.members.learners:
        is_ready = is_caught_up(core, contact, node_id, peer)
        return ChangeKind.PROMOTE if is_ready else None
    # The old voter is removed once its replacement holds the entry that
    # made it a voter.
    return ChangeKind.RETIRE if peer.match >= history.index else None
