"""Membership requests of control hosts with a new identity."""

from __future__ import annotations

import logging
import threading
from collections.abc import Mapping
from typing import Any

from apricotcart.consensus.api import Role
from apricotcart.consensus.identity import host_name
from apricotcart.consensus.members import (
    ChangeKind,
    MemberChange,
    Members,
    voter_to_replace,
)
from apricotcart.control.loop import ConsensusLoop
from apricotcart.errors.tree import ApricotcartError
from apricotcart.transport.api import PeerLinks

_LOG = logging.getLogger(__name__)
_JOIN_INTERVAL_S = 1.0
_CHANGE_TIMEOUT_S = 3.0
JOIN = 'join'


class Joiner:
    """Sends join requests to all peers until this host is a member.

    Parameters
    ----------
    node_id : str
        Identity of this host.
    loop : ConsensusLoop
        Provides the members, and changes them while this host leads.
    links : PeerLinks
        Sends messages to the peers.
    addresses : mapping of str to str
        Peer address by host name.
    """

    __slots__ = (
        '_addresses',
        '_admission_thread',
        '_links',
        '_loop',
        '_node_id',
        '_stopping',
    )

    def __init__(
        self,
        node_id: str,
        loop: ConsensusLoop,
        links: PeerLinks,
        addresses: Mapping[str, str],
    ) -> None:
        self._node_id = node_id
        self._loop = loop
        self._links = links
        self._addresses = addresses
        self._stopping = threading.Event()
        # A thread that was never started is not alive, like one that has ended.
        self._admission_thread = threading.Thread()

    def start(self) -> None:
        """Start the thread that sends join requests."""
        threading.Thread(target=self._run, daemon=True, name='join').start()

    def stop(self) -> None:
        """Stop sending join requests."""
        self._stopping.set()

    def on_join_request(self, message: dict[str, Any]) -> None:
        """Add the requesting host if this host leads.

        A request that arrives while another one is handled is dropped, since
        hosts repeat their requests and a change takes up to 3 s.
        """
        if self._admission_thread.is_alive():
            return
        self._admission_thread = threading.Thread(
            target=self._admit,
            args=(str(message.get('node_id')),),
            daemon=True,
        )
        self._admission_thread.start()

    def _run(self) -> None:
        while not self._is_member():
            self._send_join_requests()
            if self._stopping.wait(_JOIN_INTERVAL_S):
                return

    def _send_join_requests(self) -> None:
        if self._loop.status()['role'] == Role.SUSPENDED:
            # It could store nothing, and is perhaps a member already.
            return
        own_name = host_name(self._node_id)
        for name, address in self._addresses.items():
            if name != own_name:
                message = {'kind': JOIN, 'node_id': self._node_id}
                self._links.send(address, message)

    def _is_member(self) -> bool:
        members = self._loop.status()['members']
        return self._node_id in members['voters'] + members['learners']

    def _admit(self, node_id: str) -> None:
        members = Members.from_wire(self._loop.status()['members'])
        if node_id in members.all_members:
            return
        replaced = voter_to_replace(members, node_id)
        change = MemberChange(
            kind=ChangeKind.JOIN,
            node_id=node_id,
            replaces=replaced,
        )
        try:
            self._loop.change_members(change, _CHANGE_TIMEOUT_S)
        except ApricotcartError as exc:
            _LOG.debug('this host could not add %s: %s', node_id, exc)
            return
        _LOG.info('added %s, replaces voter: %s', node_id, replaced or 'none')
