"""Tests of single nodes and of small clusters."""

from __future__ import annotations

import pytest
from consensus.cluster import Cluster, Host

from apricotcart.consensus.api import Completion, Role
from apricotcart.consensus.config import (
    MAX_APPENDS_IN_FLIGHT,
    MAX_UNCOMMITTED_BYTES,
)
from apricotcart.consensus.failures import MembershipError
from apricotcart.consensus.member_changes import apply_change
from apricotcart.consensus.members import MemberChange, Members
from apricotcart.consensus.messages import (
    AppendRequest,
    VoteRequest,
    message_from_wire,
)
from apricotcart.consensus.node import Node
from apricotcart.errors.tree import (
    ApricotcartError,
    ClusterError,
    CodecError,
    NotLeaderError,
    UnavailableError,
)

# Maximum time from the kill of the leader to the next accepted write.
_TAKEOVER_LIMIT_S = 3


@pytest.fixture
def cluster() -> Cluster:
    """Return a cluster of three hosts with a snapshot every 40 entries."""
    return Cluster(7, snapshot_every=40, snapshot_trailing=5, chunk_bytes=50)


@pytest.fixture
def leader(cluster: Cluster) -> Host:
    """Return the leader of the cluster."""
    return cluster.await_leader()


def node_of(host: Host) -> Node:
    """Return the running node of a host."""
    assert host.node is not None
    return host.node


def others(cluster: Cluster, *excluded: Host) -> list[Host]:
    """Return all hosts except some."""
    return [host for host in cluster.hosts.values() if host not in excluded]


def write_many(cluster: Cluster, host: Host, count: int) -> None:
    """Write and check that all writes are committed."""
    before = len(cluster.history.applied_writes)
    for number in range(count):
        cluster.write(host, b'%d' % (before + number))
    cluster.run(1)
    assert len(cluster.history.applied_writes) == before + count


def request_change(
    cluster: Cluster, host: Host, kind: str, node_id: str
) -> list[ApricotcartError | None]:
    """Request a membership change; return a list for its error or None."""
    completions: list[ApricotcartError | None] = []
    requested = MemberChange(kind=kind, node_id=node_id)
    cluster.call(
        host,
        lambda node, now: node.change_members(now, requested),
        lambda completion: completions.append(completion.error),
    )
    return completions


def replace_disk(cluster: Cluster, host: Host) -> None:
    """Lose the disk of a host and wait until its new identity is a voter."""
    cluster.lose_disk(host)
    cluster.await_leader()
    cluster.join(host)
    cluster.run_until(cluster.is_repaired, 5)
    assert cluster.is_repaired()


@pytest.mark.parametrize('seed', range(12))
def test_takeover_leader_killed(seed: int) -> None:
    """Guards against a takeover that exceeds its time limit."""
    cluster = Cluster(seed)
    leader = cluster.await_leader()
    cluster.run(1)
    cluster.kill(leader)
    seconds = cluster.write_until_accepted(_TAKEOVER_LIMIT_S)
    assert seconds < _TAKEOVER_LIMIT_S


def test_repair_then_second_loss(cluster: Cluster, leader: Host) -> None:
    """Guards against losing committed writes when all disks are replaced.

    The disks of all three hosts are lost, one after the other.
    """
    write_many(cluster, leader, 100)
    first, second = others(cluster, leader)
    replace_disk(cluster, first)
    replace_disk(cluster, second)
    replace_disk(cluster, leader)
    cluster.write_until_accepted(_TAKEOVER_LIMIT_S)
    cluster.run(1)
    cluster.check_end()
    assert len(cluster.history.acknowledged) > 100


def test_repair_replacement_leads(cluster: Cluster, leader: Host) -> None:
    """Guards against an old identity that is never removed.

    A replacement that is elected before the old voter is removed must remove
    it itself.
    """
    lost = others(cluster, leader)[0]
    cluster.lose_disk(lost)
    cluster.join(lost)

    def is_promoted() -> bool:
        return lost.node_id in node_of(leader).members.voters

    cluster.run_until(is_promoted, 5)
    core = node_of(leader)._core
    index = core.log.history.index
    cluster.run_until(lambda: core.commit_index >= index, 1)
    cluster.freeze(leader, 3)
    cluster.run(12)
    assert cluster.is_repaired()


def test_receive_for_old_identity(cluster: Cluster, leader: Host) -> None:
    """Guards against a vote under the identity of a lost disk."""
    lost = others(cluster, leader)[0]
    old_id = lost.node_id
    cluster.lose_disk(lost)
    request = VoteRequest(
        from_id=leader.node_id,
        to_id=old_id,
        term=9,
        last_index=99,
        last_term=8,
        pre=False,
    )
    node_of(lost).receive(cluster.local_time(lost), request)
    assert not node_of(lost).drain_outbox()
    assert node_of(lost).term == 0


@pytest.mark.parametrize(
    ('fault', 'role'),
    [('fail_syncs', Role.FAILED), ('capacity', Role.SUSPENDED)],
)
def test_failed_write_ends_leadership(
    cluster: Cluster, leader: Host, fault: str, role: Role
) -> None:
    """Guards against a leader that continues after a failed write."""
    node = node_of(leader)
    now = cluster.local_time(leader)
    setattr(leader.disk, fault, 1)
    ticket = node.propose(now, b'x' * 99)
    assert not node.drain_outbox()
    assert node.role is role
    assert node.lease_expires_at() == pytest.approx(0)
    completions = node.drain_completions()
    assert [completion.ticket for completion in completions] == [ticket]
    assert isinstance(completions[0].error, UnavailableError)
    node.propose(now, b'x')
    assert not node.drain_outbox()
    assert isinstance(node.drain_completions()[0].error, ClusterError)


def test_node_with_an_unusable_disk_never_continues(
    cluster: Cluster, leader: Host
) -> None:
    """Guards against writes after one whose durable contents are unknown."""
    node = node_of(leader)
    now = cluster.local_time(leader)
    leader.disk.fail_syncs = True
    node.propose(now, b'x' * 99)
    node.drain_outbox()
    node.drain_completions()
    leader.disk.clear_faults()
    syncs = leader.disk.sync_count
    node.propose(now + 1, b'y')
    node.tick(now + 1)
    assert not node.drain_outbox()
    assert isinstance(node.drain_completions()[0].error, UnavailableError)
    assert leader.disk.sync_count == syncs


def test_drain_outbox_one_sync(cluster: Cluster, leader: Host) -> None:
    """Guards against a sync or a message per proposal."""
    cluster.run(0.5)
    node = node_of(leader)
    syncs = leader.disk.sync_count
    for number in range(300):
        node.propose(cluster.local_time(leader), b'%d' % number)
    outbox = node.drain_outbox()
    assert leader.disk.sync_count == syncs + 1
    assert len(outbox) == 2


def test_drain_outbox_flow_control(cluster: Cluster, leader: Host) -> None:
    """Guards against unbounded messages to unresponsive followers."""
    cluster.run(0.5)
    node = node_of(leader)
    sent = 0
    for number in range(40):
        node.propose(cluster.local_time(leader), b'%d' % number)
        sent += len(node.drain_outbox())
    assert sent == 2 * MAX_APPENDS_IN_FLIGHT


def test_propose_limits_uncommitted_bytes(
    cluster: Cluster, leader: Host
) -> None:
    """Guards against unbounded memory of a leader without a quorum."""
    node = node_of(leader)
    now = cluster.local_time(leader)
    command = bytes(MAX_UNCOMMITTED_BYTES // 2)
    tickets = [node.propose(now, command) for _ in range(3)]
    rejected = node.drain_completions()
    assert [completion.ticket for completion in rejected] == tickets[2:]


def test_read_one_round(cluster: Cluster, leader: Host) -> None:
    """Guards against a heartbeat round per read."""
    cluster.run(0.5)
    node = node_of(leader)
    now = cluster.local_time(leader)
    reads = [node.read(now) for _ in range(100)]
    node.tick(now)
    outbox = node.drain_outbox()
    assert len(outbox) == 2
    assert not node.drain_completions()
    cluster._send(leader, outbox[0])
    completions: list[int] = []

    def on_done(completion: Completion) -> None:
        completions.append(completion.ticket)

    leader.completion_handlers = dict.fromkeys(reads, on_done)
    cluster.run(0.1)
    assert completions == reads


def test_propose_follower(cluster: Cluster, leader: Host) -> None:
    """Guards against a rejection that does not name the leader."""
    node = node_of(others(cluster, leader)[0])
    cluster.run(0.5)
    node.propose(0, b'x')
    error = node.drain_completions()[0].error
    assert isinstance(error, NotLeaderError)
    assert error.context['leader'] == leader.node_id


def test_change_members_one_at_a_time(cluster: Cluster, leader: Host) -> None:
    """Guards against two concurrent changes with disjoint majorities."""
    cluster.run(0.5)
    first = request_change(cluster, leader, 'add_learner', 'c9.1')
    second = request_change(cluster, leader, 'add_learner', 'c8.1')
    assert not first
    assert isinstance(second[0], MembershipError)


@pytest.mark.parametrize(
    ('kind', 'node_id'),
    [
        ('remove', 'c9.1'),
        ('join', 'c1.1'),
        ('promote', 'c1.1'),
        ('x', 'c1.1'),
        ('retire', 'c1.1'),
    ],
)
def test_change_members_invalid(
    cluster: Cluster, leader: Host, kind: str, node_id: str
) -> None:
    """Guards against accepting a change that is invalid for the members."""
    cluster.run(0.5)
    completions = request_change(cluster, leader, kind, node_id)
    assert isinstance(completions[0], MembershipError)


def test_change_members_leader_removed(cluster: Cluster, leader: Host) -> None:
    """Guards against a leader that is no longer a member."""
    cluster.run(0.5)
    request_change(cluster, leader, 'remove', leader.node_id)
    cluster.run(5)
    assert node_of(leader).role is Role.LEARNER
    successor = cluster.leader()
    assert successor not in {None, leader}


def test_learner_never_votes() -> None:
    """Guards against a learner that votes or becomes a candidate."""
    cluster = Cluster(2)
    leader = cluster.await_leader()
    cluster.run(0.5)
    spare = others(cluster, leader)[0]
    request_change(cluster, leader, 'remove', spare.node_id)
    cluster.run(0.5)
    request_change(cluster, leader, 'add_learner', spare.node_id)
    cluster.run(3)
    assert node_of(spare).role is Role.LEARNER
    assert spare.node_id not in node_of(leader).members.voters
    write_many(cluster, leader, 5)
    assert len(spare.machine.writes) == 5
    for host in others(cluster, spare):
        cluster.kill(host)
    cluster.run(5)
    assert node_of(spare).role is Role.LEARNER


def test_members_stale_replacement() -> None:
    """Guards against keeping a replacement that was lost itself."""
    members = Members(voters=['a.1', 'b.1', 'c.1'])
    for node_id in ('c.2', 'c.3'):
        members = apply_change(
            members,
            MemberChange(kind='join', node_id=node_id, replaces='c.1'),
        )
    assert members.learners == ['c.3']
    members = apply_change(members, MemberChange(kind='remove', node_id='c.1'))
    assert members.joining == {'c.3': ''}


def test_receive_contradicts_commit(cluster: Cluster, leader: Host) -> None:
    """Guards against overwriting acknowledged entries."""
    write_many(cluster, leader, 5)
    follower = others(cluster, leader)[0]
    node = node_of(follower)
    forged = AppendRequest(
        from_id='x',
        to_id=follower.node_id,
        term=99,
        round_no=1,
        prev_index=1,
        prev_term=node._core.log.term_at(1) or 0,
        commit_index=1,
        entries=[[99, 1, b'other']],
    )
    node.receive(cluster.local_time(follower), forged)
    assert node.role is Role.FAILED


@pytest.mark.parametrize('wire', [{'kind': 'x'}, {}, {'kind': 'vote', 'y': 1}])
def test_message_from_wire_invalid(wire: dict[str, object]) -> None:
    """Guards against an unexpected type of error for a malformed message."""
    with pytest.raises(CodecError):
        message_from_wire(wire)
