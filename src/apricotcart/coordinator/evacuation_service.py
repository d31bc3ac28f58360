"""Requests of operators to evacuate availability zones."""

from __future__ import annotations

import re
from collections.abc import Callable, Collection, Mapping
from time import sleep
from typing import Final

from apricotcart.control.api import ReplicatedState
from apricotcart.coordinator.errors import (
    CallerGoneError,
    UnknownZoneError,
)
from apricotcart.coordinator.leader_client import LeaderClient
from apricotcart.coordinator.member_builds import MemberBuilds
from apricotcart.coordinator.messages import (
    EVACUATE,
    EVACUATION_SUPPORT,
    KIND,
)
from apricotcart.coordinator.state import EVACUATE as EVACUATE_COMMAND
from apricotcart.coordinator.state_copies import StateCopies
from apricotcart.errors.tree import (
    ClusterError,
    CodecError,
    NotLeaderError,
)
from apricotcart.observability.decisions import (
    EVACUATION_ACKNOWLEDGED,
    EVACUATION_REFUSED,
    EVACUATION_UNCONFIRMED,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s
from apricotcart.transport.api import WireMessage

# Names that a zone may have, if it is not known which ones there are.
_ZONE_NAME: Final = re.compile('[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?')
# Time limit of a commit.
_COMMIT_TIMEOUT_S: Final = 2.5
# Longest wait for the gateways: one interval of their syncs until they hear of
# a change, one until they confirm it, and the round trips.
_CONFIRMED_TIMEOUT_S: Final = 0.7
# Time limit for the reply of the leader to a forwarded request, of one search
# for the leader, and of one host in it. The caller is looked for before each
# search, so a request without a caller ends within one of them.
_FORWARD_TIMEOUT_S: Final = 2.8
_SEARCH_TIMEOUT_S: Final = 1.4
_FORWARD_HOST_TIMEOUT_S: Final = 1.0
# Pause between two searches, while no host leads.
_SEARCH_PAUSE_S: Final = 0.1

Handler = Callable[[WireMessage], WireMessage]


class EvacuationService:
    """Begins and ends evacuations on any host.

    Requests are forwarded to the leader if this host does not lead.

    Parameters
    ----------
    replicated : ReplicatedState
        Replicated log on this host.
    leader : LeaderClient
        Forwards requests to the leader.
    builds : MemberBuilds
        Tells whether all control hosts understand the command.
    confirmed : StateCopies
        Revisions that the gateways obey, while this host leads.
    zones : collection of str
        All zones; empty if they are not known.
    """

    __slots__ = ('_builds', '_confirmed', '_leader', '_replicated', '_zones')

    def __init__(
        self,
        *,
        replicated: ReplicatedState,
        leader: LeaderClient,
        builds: MemberBuilds,
        confirmed: StateCopies,
        zones: Collection[str] = (),
    ) -> None:
        self._replicated = replicated
        self._leader = leader
        self._builds = builds
        self._confirmed = confirmed
        self._zones = frozenset(zones)

    def change(
        self,
        zone: str,
        *,
        is_evacuated: bool,
        is_caller_gone: Callable[[], bool],
    ) -> None:
        """Begin or end the evacuation of a zone.

        A request that is sent again is acknowledged again. One whose caller has
        left is not carried out: the caller may have sent it again elsewhere and
        have asked for the opposite since.

        Parameters
        ----------
        zone : str
            Name of the zone.
        is_evacuated : bool
            Whether the zone is to get no more requests.
        is_caller_gone : callable
            Returns whether the operator has closed the connection.

        Raises
        ------
        UnknownZoneError
            If there is no such zone; nothing has changed.
        CallerGoneError
            If the operator does not wait for the answer.
        UnavailableError
            If the outcome is unknown.
        """
        self._require_known(zone)
        _require_caller(is_caller_gone)
        try:
            self.commit(zone, is_evacuated=is_evacuated)
        except NotLeaderError as exc:
            self._leader.follow_hint(exc)
            self._forward(
                {KIND: EVACUATE, 'zone': zone, 'is_evacuated': is_evacuated},
                is_caller_gone,
            )
        log_decision(
            EVACUATION_ACKNOWLEDGED, zone=zone, is_evacuated=is_evacuated
        )

    def commit(self, zone: str, *, is_evacuated: bool) -> None:
        """Commit a change on this host and let it take effect.

        Raises
        ------
        NotLeaderError
            If this host does not lead; nothing was committed.
        UnavailableError
            If the outcome is unknown, or a control host is of a build without
            evacuations; nothing was committed then.
        """
        self._builds.require_evacuations()
        reply = self._replicated.propose(
            {
                'kind': EVACUATE_COMMAND,
                'zone': zone,
                'is_evacuated': is_evacuated,
            },
            _COMMIT_TIMEOUT_S,
        )
        revision = int(reply['revision'])
        if self._confirmed.wait_for(revision, _CONFIRMED_TIMEOUT_S):
            log_decision(EVACUATION_UNCONFIRMED, zone=zone, revision=revision)

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of the messages of other control hosts."""
        return {
            EVACUATE: self._answer,
            EVACUATION_SUPPORT: lambda _: {'ok': True},
        }

    def _answer(self, message: WireMessage) -> WireMessage:
        self.commit(message['zone'], is_evacuated=message['is_evacuated'])
        return {'ok': True}

    def _forward(
        self, message: WireMessage, is_caller_gone: Callable[[], bool]
    ) -> None:
        deadline = boot_clock_s() + _FORWARD_TIMEOUT_S
        while True:
            remaining_s = deadline - boot_clock_s()
            try:
                self._leader.call(
                    message,
                    min(remaining_s, _SEARCH_TIMEOUT_S),
                    _FORWARD_HOST_TIMEOUT_S,
                )
            except (ClusterError, CodecError):
                if boot_clock_s() >= deadline - _SEARCH_PAUSE_S:
                    raise
            else:
                return
            sleep(_SEARCH_PAUSE_S)
            _require_caller(is_caller_gone)

    def _require_known(self, zone: str) -> None:
        is_known = _ZONE_NAME.fullmatch(zone) is not None
        if self._zones:
            is_known = zone in self._zones
        if not is_known:
            log_decision(EVACUATION_REFUSED, reason=UnknownZoneError.code)
            raise UnknownZoneError('there is no such availability zone')


def _require_caller(is_caller_gone: Callable[[], bool]) -> None:
    if is_caller_gone():
        raise CallerGoneError('the operator has closed the connection')
