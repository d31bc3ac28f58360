"""Tests of join requests of new control hosts."""

from __future__ import annotations

import threading
from typing import Any

import pytest
from control.fakes import WAIT_S, FakeLinks, FakeLoop, not_leader_error

from apricotcart.consensus.members import Members
from apricotcart.control.joining import Joiner

ADDRESSES = {'a': 'tcp://a', 'b': 'tcp://b', 'c': 'tcp://c'}


class JoinerHarness:
    """A joiner with fake links."""

    def __init__(self, loop: FakeLoop, node_id: str) -> None:
        """Initialize the joiner of a host."""
        fake: Any = loop
        self.links = FakeLinks()
        self.joiner = Joiner(node_id, fake, self.links, ADDRESSES)

    def request(self, node_id: str) -> None:
        """Handle a join request and wait until it is done."""
        self.joiner.on_join_request({'kind': 'join', 'node_id': node_id})
        self.joiner._admission_thread.join(WAIT_S)


@pytest.fixture
def harness(loop: FakeLoop) -> JoinerHarness:
    """Return the joiner of the leader."""
    return JoinerHarness(loop, 'a.0')


def changes(loop: FakeLoop) -> list[tuple[str, str, str]]:
    """Return the membership changes that were made."""
    return [
        (str(change.kind), change.node_id, change.replaces)
        for change in loop.changes
    ]


def test_admit_replaces_own_name(
    harness: JoinerHarness, loop: FakeLoop
) -> None:
    """Guards against a replaced identity that keeps its vote."""
    harness.request('b.1')
    assert changes(loop) == [('join', 'b.1', 'b.0')]


def test_admit_new_name(harness: JoinerHarness, loop: FakeLoop) -> None:
    """Guards against a new host that replaces a host of another name."""
    harness.request('bb.1')
    assert changes(loop) == [('join', 'bb.1', '')]


def test_admit_member(harness: JoinerHarness, loop: FakeLoop) -> None:
    """Guards against a repeated request that causes a second change."""
    loop.members = Members(voters=['a.0', 'b.0'], learners=['b.1'])
    harness.request('b.1')
    harness.request('b.0')
    assert not loop.changes


def test_admit_follower(harness: JoinerHarness, loop: FakeLoop) -> None:
    """Guards against a failed request that blocks later requests."""
    loop.error = not_leader_error()
    harness.request('b.1')
    loop.error = None
    harness.request('b.1')
    assert changes(loop) == [('join', 'b.1', 'b.0')]


def test_admit_one_at_a_time(
    harness: JoinerHarness, loop: FakeLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one thread per repetition of a slow request."""
    started = threading.Semaphore(0)
    proceed = threading.Event()

    def change_slowly(change: Any, timeout_s: float) -> None:
        loop.changes.append(change)
        started.release()
        proceed.wait(WAIT_S)

    monkeypatch.setattr(loop, 'change_members', change_slowly)
    harness.joiner.on_join_request({'node_id': 'b.1'})
    assert started.acquire(timeout=WAIT_S)
    for _ in range(5):
        harness.joiner.on_join_request({'node_id': 'b.1'})
    proceed.set()
    harness.joiner._admission_thread.join(WAIT_S)
    assert len(loop.changes) == 1


def test_request_goes_to_all_peers(loop: FakeLoop) -> None:
    """Guards against a request that is sent only to a host that is down."""
    harness = JoinerHarness(loop, 'b.1')
    harness.joiner._send_join_requests()
    message = {'kind': 'join', 'node_id': 'b.1'}
    assert harness.links.sent == [('tcp://a', message), ('tcp://c', message)]


def test_member_sends_no_request(harness: JoinerHarness) -> None:
    """Guards against a member that requests to join again."""
    harness.joiner._run()
    assert not harness.links.sent
