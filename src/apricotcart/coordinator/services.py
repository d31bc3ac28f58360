"""Requests of operators about the desired state."""

from __future__ import annotations

from typing import Final

from apricotcart.control.api import ReplicatedState
from apricotcart.coordinator.leader_client import (
    HOST_TIMEOUT_S,
    LeaderClient,
)
from apricotcart.coordinator.messages import FETCH, KIND, REPLACE
from apricotcart.coordinator.state import REPLACE as REPLACE_COMMAND
from apricotcart.coordinator.state import CoordinatorState
from apricotcart.coordinator.state_copies import StateCopies
from apricotcart.desired.api import DocumentFormat
from apricotcart.desired.errors import (
    InvalidDesiredStateError,
    NoDesiredStateError,
)
from apricotcart.errors.tree import NotLeaderError
from apricotcart.observability.decisions import (
    COPIES_OUTDATED,
    STATE_ACKNOWLEDGED,
    STATE_REFUSED,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s

# Time limit of a commit.
_COMMIT_TIMEOUT_S: Final = 2.5
# Time limit for a quorum to confirm that this host leads.
CONFIRM_TIMEOUT_S: Final = 0.7
# Time limit for a quorum to apply what was committed.
_SETTLE_TIMEOUT_S: Final = 1.0
# Time limits for the reply of the leader to a forwarded call. Reads have the
# shorter one, since operators try another host after a second.
_FORWARD_TIMEOUT_S: Final = 2.8
_FORWARD_READ_TIMEOUT_S: Final = 0.8
# Timeout of one host for a change: a commit, and the wait for the gateways.
_FORWARD_HOST_TIMEOUT_S: Final = 0.7
# Longest wait for the gateways before a change is acknowledged: an interval of
# their syncs, and a round trip. One that has just been lost delays changes by
# this much until it is no longer waited for.
_COPIES_TIMEOUT_S: Final = 0.4
# Bandwidth of a slow link between two hosts. A document gets the time that it
# takes there on top of the limits.
_LINK_BYTES_PER_S: Final = 312_500


class DesiredStateService:
    """Replaces and reads the desired state on any host.

    Calls are forwarded to the leader if this host does not lead.

    Parameters
    ----------
    replicated : ReplicatedState
        Replicated log on this host.
    state : CoordinatorState
        State that the replicated log has applied.
    leader : LeaderClient
        Forwards calls to the leader.
    document_format : DocumentFormat
        Decodes and validates documents.
    copies : StateCopies
        Versions that the gateways have, while this host leads.
    """

    __slots__ = ('_copies', '_format', '_leader', '_replicated', '_state')

    def __init__(
        self,
        replicated: ReplicatedState,
        state: CoordinatorState,
        leader: LeaderClient,
        document_format: DocumentFormat,
        copies: StateCopies,
    ) -> None:
        self._replicated = replicated
        self._state = state
        self._leader = leader
        self._format = document_format
        self._copies = copies

    def replace(self, document: bytes) -> int:
        """Commit a document; the highest version takes effect.

        Returns
        -------
        int
            Version of the document.

        Raises
        ------
        InvalidDesiredStateError
            If the document is invalid; nothing has changed.
        UnavailableError
            If the outcome is unknown.
        """
        started_at = boot_clock_s()
        version = self._validated_version(document)
        try:
            self.commit(version, document)
        except NotLeaderError as exc:
            self._leader.follow_hint(exc)
            message = {
                KIND: REPLACE,
                'version': version,
                'document': document,
            }
            transfer_s = _transfer_s(document)
            self._leader.call_until_answered(
                message,
                _FORWARD_TIMEOUT_S + transfer_s,
                _FORWARD_HOST_TIMEOUT_S + transfer_s,
            )
        log_decision(
            STATE_ACKNOWLEDGED,
            version=version,
            duration_s=boot_clock_s() - started_at,
        )
        return version

    def fetch(self) -> bytes:
        """Return the newest document.

        Raises
        ------
        UnavailableError
            If no leader could confirm which document is the newest.
        NoDesiredStateError
            If there is no document yet.
        """
        try:
            document = self.read()
        except NotLeaderError as exc:
            self._leader.follow_hint(exc)
            # The leader's document is most likely as long as this host's.
            transfer_s = _transfer_s(self._state.document)
            reply = self._leader.call(
                {KIND: FETCH},
                _FORWARD_READ_TIMEOUT_S + transfer_s,
                HOST_TIMEOUT_S + transfer_s,
            )
            document = reply['document']
        if not document:
            raise NoDesiredStateError('no desired state is known yet')
        return document

    def commit(self, version: int, document: bytes) -> None:
        """Commit a validated document on this host and let it take effect.

        A quorum has applied it afterwards, so that gateways learn it without
        this host.

        Raises
        ------
        NotLeaderError
            If this host does not lead; nothing was committed.
        UnavailableError
            If the outcome is unknown.
        """
        self._replicated.propose(
            {'kind': REPLACE_COMMAND, 'version': version, 'document': document},
            _COMMIT_TIMEOUT_S + _transfer_s(document),
        )
        self._replicated.barrier(_SETTLE_TIMEOUT_S, is_settled=True)
        outdated = self._copies.wait_for(version, _COPIES_TIMEOUT_S)
        if outdated:
            log_decision(COPIES_OUTDATED, version=version, count=outdated)

    def read(self) -> bytes:
        """Return the newest document if this host leads.

        Raises
        ------
        NotLeaderError, UnavailableError
            If this host does not lead, or no quorum confirms that it does.
        """
        self._replicated.barrier(CONFIRM_TIMEOUT_S)
        return self._state.document

    def _validated_version(self, document: bytes) -> int:
        try:
            return self._format.decode(document).version
        except InvalidDesiredStateError as exc:
            log_decision(STATE_REFUSED, reason=exc.message)
            raise


def _transfer_s(document: bytes) -> float:
    return len(document) / _LINK_BYTES_PER_S
