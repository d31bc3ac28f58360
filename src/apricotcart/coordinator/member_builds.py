"""Checks that all control hosts understand a command before its first use.

A host of an earlier build skips a command that it does not know, and the state
of its snapshots lacks the change.
"""

from __future__ import annotations

from typing import Final

from apricotcart.consensus.identity import host_name
from apricotcart.control.api import ReplicatedState
from apricotcart.coordinator.addresses import Ports
from apricotcart.coordinator.messages import EVACUATION_SUPPORT, KIND
from apricotcart.errors.tree import (
    ApricotcartError,
    CodecError,
    UnavailableError,
)
from apricotcart.transport.redialing import RedialingClients

# Time limit for the answer of a host. One that does not answer is not waited
# for any longer, since an evacuation must not depend on each host.
_CALL_TIMEOUT_S: Final = 0.15
# Time limit for a quorum to confirm that this host leads.
_CONFIRM_TIMEOUT_S: Final = 0.7


class MemberBuilds:
    """What the builds of the control hosts understand.

    Parameters
    ----------
    replicated : ReplicatedState
        Replicated log on this host, which names the members.
    clients : RedialingClients
        Connections to the control hosts.
    ports : Ports
        Builds the addresses of the control hosts.
    """

    __slots__ = ('_clients', '_is_checked', '_ports', '_replicated')

    def __init__(
        self,
        replicated: ReplicatedState,
        clients: RedialingClients,
        ports: Ports,
    ) -> None:
        self._replicated = replicated
        self._clients = clients
        self._ports = ports
        self._is_checked = False

    def require_evacuations(self) -> None:
        """Check once that no host is of a build without evacuations.

        Raises
        ------
        NotLeaderError
            If this host does not lead.
        UnavailableError
            If a host that answers is of such a build.
        """
        if self._is_checked:
            return
        self._replicated.barrier(_CONFIRM_TIMEOUT_S)
        members = self._replicated.status()['members']
        for node_id in (*members['voters'], *members['learners']):
            self._require_support(host_name(node_id))
        self._is_checked = True

    def _require_support(self, ip: str) -> None:
        try:
            reply = self._clients.call(
                self._ports.request_address(ip),
                {KIND: EVACUATION_SUPPORT},
                _CALL_TIMEOUT_S,
            )
        except ApricotcartError:
            return
        if reply.get('code') == CodecError.code:
            raise UnavailableError(
                f'the control host {ip} is of a build without evacuations'
            )
