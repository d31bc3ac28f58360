"""Periodic tasks of the leading coordinator."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Final

from apricotcart.consensus.members import Members
from apricotcart.control.loop import ConsensusLoop
from apricotcart.coordinator.endpoint_list import EndpointList
from apricotcart.coordinator.member_policy import MemberPolicy
from apricotcart.coordinator.state import SET_VERSIONS, CoordinatorState
from apricotcart.observability.decisions import (
    MEMBER_REMOVED,
    VERSIONS_CHANGED,
    log_decision,
)
from apricotcart.resumption.serving_versions import (
    VersionTracker,
    listed_versions,
)
from apricotcart.timers.clock import boot_clock_s

MEMBERS_INTERVAL_S: Final = 0.5
_CHANGE_TIMEOUT_S: Final = 2.0


class LeaderTasks:
    """Maintains the members and the versions in the replicated state.

    Each task does nothing but forget its observations while this host does
    not lead.

    Parameters
    ----------
    loop : ConsensusLoop
        Commits the changes.
    state : CoordinatorState
        State that the replicated log has applied.
    endpoints : EndpointList
        Fetched by the leader for all hosts.
    """

    __slots__ = (
        '_endpoints',
        '_loop',
        '_member_policy',
        '_state',
        '_version_tracker',
    )

    def __init__(
        self,
        loop: ConsensusLoop,
        state: CoordinatorState,
        endpoints: EndpointList,
    ) -> None:
        self._loop = loop
        self._state = state
        self._endpoints = endpoints
        self._member_policy = MemberPolicy()
        self._version_tracker = VersionTracker()

    def leads(self) -> bool:
        """Return whether this host leads with a valid lease."""
        return self._loop.lease_until() > boot_clock_s()

    def maintain_members(self) -> None:
        """Remove a voter that does not answer, if the policy says so."""
        if not self.leads():
            self._member_policy.reset()
            return
        status = self._loop.status()
        change = self._member_policy.next_change(
            boot_clock_s(),
            Members.from_wire(status['members']),
            status['answering'],
        )
        if change is not None:
            self._loop.change_members(change, _CHANGE_TIMEOUT_S)
            log_decision(MEMBER_REMOVED, member=change.node_id)

    def fetch_endpoints(self) -> None:
        """Fetch the list of endpoints and commit its new versions."""
        if not self.leads():
            self._version_tracker.reset()
            return
        self._endpoints.fetch()
        self._commit_versions()

    def _commit_versions(self) -> None:
        committed = self._state.software_versions
        versions = self._version_tracker.next_versions(
            boot_clock_s(),
            listed_versions(self._endpoints.instances()),
            committed,
        )
        if versions == committed:
            return
        texts = {name: sorted(names) for name, names in versions.items()}
        command = {'kind': SET_VERSIONS, 'versions': texts}
        self._loop.propose(command, _CHANGE_TIMEOUT_S)
        log_decision(VERSIONS_CHANGED, software=_describe(texts))


def _describe(versions: Mapping[str, Sequence[str]]) -> str:
    return ' '.join(
        f'{service}:{version}'
        for service, texts in versions.items()
        for version in texts
    )
