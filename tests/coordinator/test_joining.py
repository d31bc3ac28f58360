"""Guards against a host that knows only the seeds and never joins."""

from __future__ import annotations

from typing import Any

import pytest
from control.fakes import WAIT_S, FakeLinks, FakeLoop

from apricotcart.consensus.messages import VoteRequest
from apricotcart.coordinator.addresses import ControlHosts, Ports
from apricotcart.coordinator.joining import SeedJoiner
from apricotcart.state.machine import ClusterState


@pytest.fixture
def loop() -> FakeLoop:
    """Return the loop of the leader, host ``a``."""
    return FakeLoop(ClusterState())


def _joiner(loop: FakeLoop, node_id: str) -> tuple[SeedJoiner, FakeLinks]:
    links = FakeLinks()
    fake: Any = loop
    return SeedJoiner(node_id, fake, links, ControlHosts(Ports(7000))), links


def _vote_request(from_id: str) -> VoteRequest:
    return VoteRequest(
        from_id=from_id,
        to_id='a.0',
        term=9,
        last_index=1,
        last_term=1,
        pre=True,
    )


def test_request_is_forwarded_to_the_leader_once(loop: FakeLoop) -> None:
    joiner, links = _joiner(loop, 'b.0')
    joiner.on_join_request({'kind': 'join', 'node_id': 'x.1'})
    sent = links.sent[0]
    assert sent[0] == 'tcp://a:7000'
    joiner.on_join_request(sent[1])
    assert len(links.sent) == 1
    assert not loop.changes


def test_removed_host_that_requests_votes_is_added_again(
    loop: FakeLoop,
) -> None:
    joiner, _ = _joiner(loop, 'a.0')
    joiner.on_message(_vote_request('x.1'))
    joiner._admission_thread.join(WAIT_S)
    assert loop.changes[0].node_id == 'x.1'


def test_member_that_requests_votes_is_not_added(loop: FakeLoop) -> None:
    joiner, _ = _joiner(loop, 'a.0')
    joiner.on_message(_vote_request('b.0'))
    assert not loop.changes
