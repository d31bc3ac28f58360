"""Tests of each safety mechanism, which must fail without it."""

from __future__ import annotations

import pytest
from consensus.cluster import Cluster, Host
from storage.fake_disk import FakeDisk

from apricotcart.consensus import joining
from apricotcart.consensus.api import Role
from apricotcart.consensus.elections import Elections
from apricotcart.consensus.leadership import Leadership
from apricotcart.consensus.members import Members
from apricotcart.consensus.node import Node
from apricotcart.consensus.quorum_contact import QuorumContact
from apricotcart.consensus.replica import Replica
from apricotcart.errors.tree import UnavailableError
from apricotcart.storage.failures import DamagedStoreError


class NoPreVoteElections(Elections):
    """Starts an election without a pre-vote."""

    def start_pre_vote(self) -> bool:
        return self.start_election()


class NoGuardElections(Elections):
    """Grants votes although a leader is still in contact."""

    def on_leader_contact(self) -> None:
        super().on_leader_contact()
        self.core.vote_guard_until = 0


class NoQuorumCheckContact(QuorumContact):
    """Never detects the loss of the quorum."""

    def has_lost_quorum(self, now: float, members: Members) -> bool:
        return False


class NoQuorumCheckLeadership(Leadership):
    """Uses `NoQuorumCheckContact`."""

    quorum_contact_type = NoQuorumCheckContact


class NoReadIndexReplica(Replica):
    """Completes reads without confirmation by a quorum."""

    def read(self, ticket: int) -> None:
        if self.leadership is None:
            super().read(ticket)
        else:
            self.core.complete(ticket)


class UnsyncedLogDisk(FakeDisk):
    """Ignores syncs of log segments."""

    def sync(self, name: str) -> None:
        if not name.startswith('log-'):
            super().sync(name)


def node_type_with(
    elections: type[Elections] = Elections,
    leadership: type[Leadership] = Leadership,
    base: type[Replica] = Replica,
) -> type[Node]:
    """Return a node type with the given components."""
    components = {'elections_type': elections, 'leadership_type': leadership}
    replica_type = type('VariantReplica', (base,), components)
    return type('VariantNode', (Node,), {'replica_type': replica_type})


def make_cluster(node_type: type[Node], seed: int = 3) -> Cluster:
    """Return a cluster of three hosts with a node type."""
    return Cluster(seed, node_type=node_type)


def follower_of(cluster: Cluster, leader: Host) -> Host:
    """Return a host other than the leader."""
    return next(host for host in cluster.hosts.values() if host is not leader)


def reconnected_host_ends_term(node_type: type[Node]) -> bool:
    """Return whether a reconnected host disrupts the leader."""
    cluster = make_cluster(node_type)
    leader = cluster.await_leader()
    assert leader.node is not None
    term = leader.node.term
    cluster.isolate(follower_of(cluster, leader), 6)
    cluster.run(10)
    return leader.node.term != term or leader.node.role is not Role.LEADER


def test_pre_vote_reconnected_host() -> None:
    """Guards against an outage when an isolated host reconnects."""
    assert not reconnected_host_ends_term(Node)
    assert reconnected_host_ends_term(node_type_with(NoPreVoteElections))


def unreachable_follower_ends_term(node_type: type[Node]) -> bool:
    """Return whether a host that receives nothing from the leader wins."""
    cluster = make_cluster(node_type)
    leader = cluster.await_leader()
    assert leader.node is not None
    unreachable = follower_of(cluster, leader)
    cluster.cut_links.add((leader.name, unreachable.name))
    try:
        cluster.run(8)
    except AssertionError as exc:
        assert 'two leases' in str(exc)
        return True
    return leader.node.role is not Role.LEADER


def test_vote_guard_unreachable_follower() -> None:
    """Guards against a second lease while the first one is valid.

    A follower that no longer receives the messages of the leader starts an
    election, although the other follower is still in contact with the leader.
    """
    assert not unreachable_follower_ends_term(Node)
    assert unreachable_follower_ends_term(node_type_with(NoGuardElections))


def isolated_leader_keeps_role(node_type: type[Node]) -> bool:
    """Return whether an isolated leader keeps its role."""
    cluster = make_cluster(node_type)
    leader = cluster.await_leader()
    cluster.isolate(leader, 20)
    write = cluster.write(leader, b'lost')
    cluster.run(2.5)
    assert leader.node is not None
    if leader.node.role is Role.LEADER:
        return True
    assert isinstance(write[0].error, UnavailableError)
    return False


def test_check_quorum_isolated_leader() -> None:
    """Guards against clients that wait for a leader without a quorum."""
    assert not isolated_leader_keeps_role(Node)
    variant = node_type_with(leadership=NoQuorumCheckLeadership)
    assert isolated_leader_keeps_role(variant)


def run_power_loss_of_all(disk_type: type[FakeDisk]) -> None:
    """Write, cut the power of all hosts at once and check the writes."""
    cluster = Cluster(5, disk_type=disk_type)
    leader = cluster.await_leader()
    for number in range(20):
        cluster.write(leader, b'%d' % number)
        cluster.run(0.05)
    assert len(cluster.history.acknowledged) == 20
    for host in cluster.hosts.values():
        cluster.kill(host)
    for host in cluster.hosts.values():
        cluster.start(host)
    cluster.write_until_accepted(10)
    cluster.run(1)
    cluster.check_end()


def test_sync_before_acknowledgement() -> None:
    """Guards against losing acknowledged writes in a power loss."""
    run_power_loss_of_all(FakeDisk)
    with pytest.raises((AssertionError, DamagedStoreError)):
        run_power_loss_of_all(UnsyncedLogDisk)


def read_after_freeze(node_type: type[Node]) -> None:
    """Read from a leader that was suspended while another one took over."""
    cluster = make_cluster(node_type)
    leader = cluster.await_leader()
    cluster.freeze(leader, 6)
    cluster.isolate(leader, 20)
    cluster.run(4)
    cluster.write_until_accepted(2)
    read = cluster.read(leader)
    cluster.run(4)
    assert read


def test_read_index_after_freeze() -> None:
    """Guards against a stale read from a replaced leader."""
    read_after_freeze(Node)
    with pytest.raises(AssertionError, match='stale read'):
        read_after_freeze(node_type_with(base=NoReadIndexReplica))


def write_during_join(cluster: Cluster, *, replace: bool = False) -> None:
    """Lose a disk, isolate the host, add it as a learner and write.

    Without the replacement, its old voter stays among the members.
    """
    leader = cluster.await_leader()
    lost = follower_of(cluster, leader)
    cluster.lose_disk(lost)
    cluster.isolate(lost, 20)
    cluster.join(lost, replace=replace)
    cluster.run(0.5)
    cluster.write_until_accepted(1)


def test_unreachable_learner_not_promoted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against promoting an unreachable learner, which stops commits."""
    write_during_join(Cluster(4))
    write_during_join(Cluster(4), replace=True)
    monkeypatch.setattr(joining, 'is_caught_up', lambda *_args: True)
    with pytest.raises(AssertionError, match='no write was accepted'):
        write_during_join(Cluster(4))


def test_lease_measured_from_send() -> None:
    """Guards against a lease measured from the arrival of a slow reply."""
    members = Members(voters=['a', 'b', 'c'])
    contact = QuorumContact('a', 0)
    contact.open_round(10)
    contact.open_round(11.5)
    contact.acknowledge('b', 1)
    assert contact.lease_expires_at(members) == pytest.approx(12)
    assert contact.has_lost_quorum(12.1, members)


def seconds_to_serve_after_restart_of_all(*, guards_restart: bool) -> float:
    """Return the seconds from the restart of all hosts to the next commit."""
    cluster = Cluster(3, guards_restart=guards_restart)
    cluster.await_leader()
    cluster.write_until_accepted(5)
    for host in cluster.hosts.values():
        cluster.kill(host)
    for host in cluster.hosts.values():
        cluster.start(host)
    return cluster.write_until_accepted(8)


def test_restart_without_guard_serves_at_once() -> None:
    """Guards against an outage of over 1 s after a power loss of all hosts.

    Callers wait for a third of their deadline at most, which is one second.
    """
    assert seconds_to_serve_after_restart_of_all(guards_restart=False) < 1
    assert seconds_to_serve_after_restart_of_all(guards_restart=True) > 2


def test_restarted_host_without_guard_does_not_disrupt() -> None:
    """Guards against an election whenever a single host restarts."""
    cluster = Cluster(3, guards_restart=False)
    leader = cluster.await_leader()
    assert leader.node is not None
    term = leader.node.term
    other = follower_of(cluster, leader)
    cluster.kill(other)
    cluster.start(other)
    cluster.run(5)
    assert leader.node.term == term
    assert leader.node.role is Role.LEADER
