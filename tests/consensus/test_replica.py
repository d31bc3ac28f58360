"""Tests of single events that random faults rarely produce."""

from __future__ import annotations

import random
from typing import Any

import pytest
from consensus.history import History, ListMachine

from apricotcart.consensus.api import Entry, EntryKind, Role, Vote
from apricotcart.consensus.config import VOTE_GUARD_S, NodeConfig
from apricotcart.consensus.failures import MembershipError
from apricotcart.consensus.members import MemberChange, Members
from apricotcart.consensus.memory_store import MemoryStore
from apricotcart.consensus.messages import (
    AppendReply,
    AppendRequest,
    Message,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from apricotcart.consensus.node import Node, bootstrap
from apricotcart.consensus.progress import Progress
from apricotcart.errors.tree import UnavailableError

_MEMBERS = Members(voters=['a.1', 'b.1', 'c.1'])


@pytest.fixture
def node() -> Node:
    """Return voter a.1 with two entries of terms 1 and 2."""
    store = MemoryStore()
    bootstrap(store, _MEMBERS)
    store.save_vote(Vote(term=2))
    store.append([Entry(1, 1, 1, b'first'), Entry(2, 2, 1, b'second')])
    restarted = Node.from_config(
        NodeConfig(node_id='a.1'),
        store,
        ListMachine(History()),
        random.Random(1),
    )
    restarted.tick(0)
    return restarted


def receive(
    node: Node, now: float, kind: type[Message], **fields: Any
) -> list[Message]:
    """Deliver a message from b.1 and return what the node sends."""
    node.receive(now, kind(from_id='b.1', to_id='a.1', **fields))
    return node.drain_outbox()


def elect_node(node: Node) -> None:
    """Make the node the leader of term 3."""
    node.tick(3)
    receive(node, 3, VoteReply, term=3, granted=True, pre=True)
    receive(node, 3, VoteReply, term=3, granted=True, pre=False)
    assert node.role is Role.LEADER


def accept_entries(node: Node, match_index: int) -> None:
    """Accept the entries of the leader of term 3 as follower b.1."""
    receive(
        node,
        3,
        AppendReply,
        term=3,
        round_no=1,
        accepted=True,
        prev_index=match_index,
        match_index=match_index,
    )


def test_commit_earlier_term(node: Node) -> None:
    """Guards against committing an entry of an earlier term by itself.

    A later leader could overwrite it.
    """
    elect_node(node)
    accept_entries(node, 2)
    assert node.commit_index == 0
    accept_entries(node, 3)
    assert node.commit_index == 3


def test_compact_large_entries(node: Node) -> None:
    """Guards against unbounded memory for a log of large entries."""
    elect_node(node)
    accept_entries(node, 3)
    for index in range(4, 34):
        node.propose(3, b'%0500000d' % index)
        node.drain_outbox()
        accept_entries(node, index)
    log = node._core.log
    entries = log.entries_between(log.base_index + 1, log.last_index)
    assert sum(len(entry.payload) for entry in entries) < 12_000_000
    snapshot = log.snapshot
    assert snapshot is not None
    # The state grows with the log, so there is only one snapshot.
    assert snapshot.index == 20


def test_change_before_first_commit(node: Node) -> None:
    """Guards against a change concurrent with one of an earlier leader."""
    elect_node(node)
    node.change_members(3, MemberChange(kind='remove', node_id='c.1'))
    assert isinstance(node.drain_completions()[0].error, MembershipError)


def test_read_refused_by_newer_term(node: Node) -> None:
    """Guards against a stale read confirmed by the rejection of a voter."""
    elect_node(node)
    accept_entries(node, 3)
    node.read(3)
    node.tick(3.1)
    node.drain_outbox()
    receive(
        node,
        3.1,
        AppendReply,
        term=4,
        round_no=2,
        accepted=False,
        prev_index=0,
        match_index=0,
    )
    assert isinstance(node.drain_completions()[0].error, UnavailableError)


def test_propose_overwritten(node: Node) -> None:
    """Guards against completing a proposal with the reply of another one.

    A new leader overwrites the entry with another command at the same index.
    """
    elect_node(node)
    accept_entries(node, 3)
    node.propose(3, b'mine')
    node.drain_outbox()
    receive(
        node,
        3.1,
        AppendRequest,
        term=4,
        round_no=1,
        prev_index=3,
        prev_term=3,
        commit_index=4,
        entries=[[4, EntryKind.COMMAND, b'other']],
    )
    assert node.commit_index == 4
    assert isinstance(node.drain_completions()[0].error, UnavailableError)


def test_vote_guard_after_restart(node: Node) -> None:
    """Guards against a vote during a lease acknowledged before a restart."""
    request = {'term': 9, 'last_index': 9, 'last_term': 8, 'pre': False}
    for now, granted in ((VOTE_GUARD_S - 0.1, False), (VOTE_GUARD_S, True)):
        reply = receive(node, now, VoteRequest, **request)[0]
        assert isinstance(reply, VoteReply)
        assert reply.granted is granted
    assert node.term == 9


def test_vote_shorter_log(node: Node) -> None:
    """Guards against electing a leader that lacks committed entries."""
    for last_index, last_term in ((1, 2), (9, 1)):
        replies = receive(
            node,
            3,
            VoteRequest,
            term=4,
            last_index=last_index,
            last_term=last_term,
            pre=False,
        )
        assert isinstance(replies[0], VoteReply)
        assert not replies[0].granted


def test_pre_vote_rival(node: Node) -> None:
    """Guards against split votes that delay the takeover."""
    node.tick(3)
    node.drain_outbox()
    for from_id, granted in (('A.1', False), ('b.1', True)):
        request = VoteRequest(
            from_id=from_id,
            to_id='a.1',
            term=3,
            last_index=2,
            last_term=2,
            pre=True,
        )
        node.receive(3, request)
        reply = node.drain_outbox()[0]
        assert isinstance(reply, VoteReply)
        assert reply.granted is granted


def test_snapshot_chunks_two_leaders(node: Node) -> None:
    """Guards against a snapshot combined from chunks of two leaders."""
    chunk = {
        'round_no': 1,
        'index': 9,
        'snapshot_term': 2,
        'members': _MEMBERS.to_wire(),
        'size': 4,
        'chunk': b'ab',
    }
    receive(node, 0, SnapshotChunk, term=3, offset=0, **chunk)
    reply = receive(node, 0, SnapshotChunk, term=4, offset=2, **chunk)[0]
    assert isinstance(reply, SnapshotReply)
    assert reply.offset == 0


def test_truncate_members(node: Node) -> None:
    """Guards against keeping members from an overwritten entry."""
    other = Members(voters=['a.1', 'b.1'])
    changes = ((3, EntryKind.MEMBERS, other.to_bytes()), (4, 0, b''))
    for term, kind, payload in changes:
        receive(
            node,
            0,
            AppendRequest,
            term=term,
            round_no=1,
            prev_index=2,
            prev_term=2,
            commit_index=0,
            entries=[[term, kind, payload]],
        )
    assert node.members == _MEMBERS


def test_old_voter_stays_until_its_replacement_has_caught_up(
    node: Node,
) -> None:
    """Guards against removing a voter whose replacement lags behind."""
    elect_node(node)
    accept_entries(node, 3)
    node.change_members(
        3, MemberChange(kind='join', node_id='c.2', replaces='c.1')
    )
    accept_entries(node, 4)
    leadership = node._replica.leadership
    assert leadership is not None
    node.tick(3)
    assert 'c.1' in node.members.voters
    leadership.contact.acknowledge('c.2', 1)
    leadership.replicator.progress['c.2'].record_accepted(4)
    node.tick(3)
    assert node.members == Members(
        voters=['a.1', 'b.1'], learners=['c.2'], joining={'c.2': ''}
    )


def test_promotion_waits_for_the_removal_of_the_old_voter(node: Node) -> None:
    """Guards against four voters of which two are the same host."""
    elect_node(node)
    accept_entries(node, 3)
    node.change_members(
        3, MemberChange(kind='join', node_id='c.2', replaces='c.1')
    )
    accept_entries(node, 4)
    node.drain_completions()
    node.change_members(3, MemberChange(kind='promote', node_id='c.2'))
    assert isinstance(node.drain_completions()[0].error, MembershipError)
    assert node.members.voters == ['a.1', 'b.1', 'c.1']


def test_progress_late_rejection() -> None:
    """Guards against resending entries after an outdated rejection."""
    progress = Progress(1)
    progress.record_accepted(7)
    assert not progress.record_rejected(5, 0)
    assert progress.next_index == 8
