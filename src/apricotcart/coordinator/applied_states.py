"""What control hosts have applied, and what a quorum of them proves.

A leader acknowledges a change only after a quorum has applied it. Any quorum
then has a host that knows it, whatever happens to the leader.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence

from apricotcart.codec.record import Record
from apricotcart.control.loop import ConsensusLoop
from apricotcart.coordinator.messages import APPLIED_STATE
from apricotcart.coordinator.newest_state import SmallDocument
from apricotcart.coordinator.state import CoordinatorState
from apricotcart.errors.tree import UnavailableError
from apricotcart.transport.api import WireMessage


class AppliedState(Record):
    """What one control host has applied.

    Attributes
    ----------
    node_id : str
        Identity of the host.
    members_index : int
        Index of the log entry that set the members that it knows.
    voter_sets : sequence of sequence of str
        Voters of these members, and of the last committed ones.
    version : int
        Version of the desired state, -1 without one.
    document : bytes or None
        The desired state in compressed form, if it is small and newer than
        what the asking host has.
    """

    __slots__ = (
        'document',
        'members_index',
        'node_id',
        'version',
        'voter_sets',
    )

    def __init__(
        self,
        *,
        node_id: str,
        members_index: int,
        voter_sets: Sequence[Sequence[str]],
        version: int,
        document: bytes | None = None,
    ) -> None:
        self.node_id = node_id
        self.members_index = members_index
        self.voter_sets = voter_sets
        self.version = version
        self.document = document


class AppliedStates:
    """Answers what this host has applied, whether it leads or not.

    Parameters
    ----------
    node_id : str
        Identity of this host.
    loop : ConsensusLoop
        Publishes the status of the consensus node.
    state : CoordinatorState
        State that the replicated log has applied.
    """

    __slots__ = ('_document', '_loop', '_node_id', '_state')

    def __init__(
        self,
        node_id: str,
        loop: ConsensusLoop,
        state: CoordinatorState,
    ) -> None:
        self._node_id = node_id
        self._loop = loop
        self._state = state
        self._document = SmallDocument(state)

    def handlers(self) -> Mapping[str, Callable[[WireMessage], WireMessage]]:
        """Return the functions that answer requests, by their kind."""
        return {APPLIED_STATE: self._answer}

    def _answer(self, message: WireMessage) -> WireMessage:
        # The members must be no newer than the version, which must have been
        # read before the node began to load an older state.
        status = self._loop.published
        version = self._state.version
        if not self._loop.published.is_recovered:
            raise UnavailableError('this host has not recovered its state')
        is_newer = version > message['version']
        applied = AppliedState(
            node_id=self._node_id,
            members_index=status.members_index,
            voter_sets=status.voter_sets,
            version=version,
            document=self._document.deflated() if is_newer else None,
        )
        return {'ok': True, **applied.to_wire()}


def acknowledged_version(states: Collection[AppliedState]) -> int | None:
    """Return a version that no change acknowledged before is newer than.

    Members change by one voter at a time, and the next change begins after
    the last one is committed. If the hosts are a majority of all sets of
    voters that they name, they have a host in common with the quorum of any
    earlier acknowledgement. Hosts that know only old members are left out if
    the others are enough.

    Parameters
    ----------
    states : collection of AppliedState
        Answers to requests, at most one of each host.

    Returns
    -------
    int or None
        The version; None if the hosts are no quorum.
    """
    remaining = list(states)
    while remaining:
        if _is_quorum(remaining):
            return max(applied.version for applied in remaining)
        oldest = min(applied.members_index for applied in remaining)
        remaining = [
            applied for applied in remaining if applied.members_index > oldest
        ]
    return None


def _is_quorum(states: Collection[AppliedState]) -> bool:
    hosts = {applied.node_id for applied in states}
    return all(
        len(hosts.intersection(voters)) > len(voters) // 2
        for applied in states
        for voters in applied.voter_sets
    )
