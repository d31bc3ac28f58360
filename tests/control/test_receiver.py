"""Tests of the thread that receives messages from control hosts."""

from __future__ import annotations

from typing import Any

from control.fakes import WAIT_S, FakeLinks

from apricotcart.consensus.messages import Message, VoteReply
from apricotcart.control.receiver import PeerReceiver

VOTE = VoteReply(from_id='b.0', to_id='a.0', term=1, granted=True, pre=False)


def test_receiver_bad_messages() -> None:
    """Guards against a malformed message that stops the thread."""
    links = FakeLinks(
        {},
        {'kind': 'x'},
        {'kind': 'vote_reply', 'unheard': 1},
        {'kind': 'join', 'node_id': 'b.1'},
        VOTE.to_wire(),
    )
    delivered: list[Message] = []
    joins: list[Any] = []
    receiver = PeerReceiver(links, delivered.append, joins.append)
    receiver.start()
    assert links.is_empty.wait(WAIT_S)
    receiver.stop()
    assert [message.to_wire() for message in delivered] == [VOTE.to_wire()]
    assert [join['node_id'] for join in joins] == ['b.1']
