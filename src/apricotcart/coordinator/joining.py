"""Joining of hosts that know only the seeds."""

from __future__ import annotations

import logging
from typing import Any

from apricotcart.consensus.identity import host_name
from apricotcart.consensus.messages import Message, VoteRequest
from apricotcart.control.joining import JOIN, Joiner

_LOG = logging.getLogger(__name__)
_FORWARDED = 'passed_on'


class SeedJoiner(Joiner):
    """Joiner whose members forward join requests to the leader."""

    __slots__ = ()

    def on_join_request(self, message: dict[str, Any]) -> None:
        """Add the requesting host, or forward its request to the leader."""
        leader = self._loop.leader_name()
        if leader and leader != host_name(self._node_id):
            if not message.get(_FORWARDED):
                self._links.send(
                    self._addresses[leader],
                    {**message, _FORWARDED: True},
                )
            return
        super().on_join_request(message)

    def on_message(self, message: Message) -> None:
        """Add a removed host again when it requests votes.

        A host that was partitioned during its removal does not know that it
        is no longer a member.
        """
        if not isinstance(message, VoteRequest):
            return
        members = self._loop.status()['members']
        if message.from_id in members['voters'] + members['learners']:
            return
        if self._loop.lease_until() > 0:
            self.on_join_request({'kind': JOIN, 'node_id': message.from_id})
