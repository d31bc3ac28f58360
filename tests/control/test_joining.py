"""Tests of the requests of new control hosts to become members."""

from __future__ import annotations

import threading
from typing import Any

import pytest
from control.fakes import WAIT_S, FakeLinks, FakeLoop, refused

from apricotcart.consensus.members import Members
from apricotcart.control.joining import Joiner

ADDRESSES = {'a': 'tcp://a', 'b': 'tcp://b', 'c': 'tcp://c'}


class Asked:
    """A joiner and what comes of its requests."""

    def __init__(self, loop: FakeLoop, node_id: str) -> None:
        """Build the joiner of a host."""
        fake: Any = loop
        self.links = FakeLinks()
        self.joiner = Joiner(node_id, fake, self.links, ADDRESSES)

    def ask(self, node_id: str) -> None:
        """Take a request and wait for its end."""
        self.joiner.on_request({'kind': 'join', 'node_id': node_id})
        self.joiner._admission.join(WAIT_S)


@pytest.fixture
def asked(loop: FakeLoop) -> Asked:
    """Give the joiner of the leader."""
    return Asked(loop, 'a.0')


def changes(loop: FakeLoop) -> list[tuple[str, str, str]]:
    """Give the changes that were made."""
    return [
        (str(change.kind), change.node_id, change.replaces)
        for change in loop.changes
    ]


def test_admit_replaces_own_name(asked: Asked, loop: FakeLoop) -> None:
    """Guards against a lost identity that keeps its vote."""
    asked.ask('b.1')
    assert changes(loop) == [('join', 'b.1', 'b.0')]


def test_admit_new_name(asked: Asked, loop: FakeLoop) -> None:
    """Guards against a new host that takes the place of another one."""
    asked.ask('bb.1')
    assert changes(loop) == [('join', 'bb.1', '')]


def test_admit_member(asked: Asked, loop: FakeLoop) -> None:
    """Guards against a repeated request that makes another change."""
    loop.members = Members(voters=['a.0', 'b.0'], learners=['b.1'])
    asked.ask('b.1')
    asked.ask('b.0')
    assert not loop.changes


def test_admit_follower(asked: Asked, loop: FakeLoop) -> None:
    """Guards against a follower's refusal that ends later requests."""
    loop.refusal = refused()
    asked.ask('b.1')
    loop.refusal = None
    asked.ask('b.1')
    assert changes(loop) == [('join', 'b.1', 'b.0')]


def test_admit_one_at_a_time(
    asked: Asked, loop: FakeLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a thread for each repeat of a slow request."""
    started = threading.Semaphore(0)
    proceed = threading.Event()

    def slow(change: Any, timeout_s: float) -> None:
        loop.changes.append(change)
        started.release()
        proceed.wait(WAIT_S)

    monkeypatch.setattr(loop, 'change_members', slow)
    asked.joiner.on_request({'node_id': 'b.1'})
    assert started.acquire(timeout=WAIT_S)
    for _ in range(5):
        asked.joiner.on_request({'node_id': 'b.1'})
    proceed.set()
    asked.joiner._admission.join(WAIT_S)
    assert len(loop.changes) == 1


def test_ask_all_peers(loop: FakeLoop) -> None:
    """Guards against a request that only goes to a host that is down."""
    asked = Asked(loop, 'b.1')
    asked.joiner._ask()
    message = {'kind': 'join', 'node_id': 'b.1'}
    assert asked.links.sent == [('tcp://a', message), ('tcp://c', message)]


def test_ask_member_is_silent(asked: Asked) -> None:
    """Guards against a member that asks to be added again."""
    asked.joiner._run()
    assert not asked.links.sent
