"""Guards against dead voters of a host that loses its disk again and again."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest
from consensus.cluster import Cluster, Host
from hypothesis import given
from hypothesis import strategies as st

from apricotcart.consensus.failures import MembershipError
from apricotcart.consensus.member_changes import apply_change
from apricotcart.consensus.members import (
    ChangeKind,
    MemberChange,
    Members,
    voter_to_replace,
)

_LOSSES = 3
_JOIN_INTERVAL_S = 0.05
_STEP_LIMIT_S = 5
# Calm time between the last loss of a disk and the next loss of a host.
_CALM_S = 4
_TAKEOVER_LIMIT_S = 3
_HOST_NAMES = ('a', 'b', 'c', 'd', 'e')


class Loss:
    """The loss of a disk, seen from the leader.

    Attributes
    ----------
    old_id, new_id : str
        Identities of the host before and after it.
    """

    def __init__(self, cluster: Cluster, host: Host, old_id: str) -> None:
        self._cluster = cluster
        self._host = host
        self.old_id = old_id
        self.new_id = host.node_id

    def members(self) -> Members:
        """Return the members that the leader knows."""
        leader = self._cluster.leader()
        if leader is None or leader.node is None:
            return Members()
        return leader.node.members

    def is_restarted(self) -> bool:
        return True

    def is_learner(self) -> bool:
        return self.new_id in self.members().learners

    def is_old_voter_removed(self) -> bool:
        voters = self.members().voters
        return bool(voters) and self.old_id not in voters

    def is_promoted(self) -> bool:
        return self.new_id in self.members().voters

    def is_repaired(self) -> bool:
        return self._cluster.is_repaired()


_STEPS: dict[str, Callable[[Loss], bool]] = {
    'restarted': Loss.is_restarted,
    'learner': Loss.is_learner,
    'old-voter-removed': Loss.is_old_voter_removed,
    'promoted': Loss.is_promoted,
    'repaired': Loss.is_repaired,
}


def _keep_joining(cluster: Cluster, host: Host) -> None:
    cluster.join(host)
    cluster.call_later(_JOIN_INTERVAL_S, lambda: _keep_joining(cluster, host))


def _lose_disk(cluster: Cluster, host: Host) -> Loss:
    old_id = host.node_id
    cluster.lose_disk(host)
    return Loss(cluster, host, old_id)


def _lose_disk_until(cluster: Cluster, host: Host, step: str) -> None:
    """Lose the disk and run until a step of the replacement."""
    loss = _lose_disk(cluster, host)
    cluster.run_until(lambda: _STEPS[step](loss), _STEP_LIMIT_S)
    assert _STEPS[step](loss)


def _require_one_voter_per_host(cluster: Cluster) -> None:
    """Require that the members recover, and bear one more loss."""
    cluster.run_until(cluster.is_repaired, _CALM_S)
    assert cluster.is_repaired()
    cluster.kill(cluster.await_leader())
    cluster.write_until_accepted(_TAKEOVER_LIMIT_S)


@pytest.mark.parametrize('size', [3, 5])
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize(
    'steps', itertools.product(_STEPS, repeat=2), ids='-'.join
)
def test_disk_lost_again_at_any_step_leaves_one_voter_per_host(
    steps: tuple[str, str], seed: int, size: int
) -> None:
    cluster = Cluster(seed, size)
    leader = cluster.await_leader()
    host = next(other for other in cluster.hosts.values() if other != leader)
    _keep_joining(cluster, host)
    for step in steps:
        _lose_disk_until(cluster, host, step)
    _lose_disk(cluster, host)
    _require_one_voter_per_host(cluster)


@pytest.mark.parametrize('step', _STEPS)
def test_next_leader_continues_after_a_disk_lost_again(step: str) -> None:
    """The leader stands still while the host loses its disk again."""
    cluster = Cluster(1, 5)
    leader = cluster.await_leader()
    host = next(other for other in cluster.hosts.values() if other != leader)
    _keep_joining(cluster, host)
    _lose_disk_until(cluster, host, step)
    cluster.freeze(leader, 3)
    for _ in range(_LOSSES):
        cluster.run(0.7)
        _lose_disk(cluster, host)
    cluster.run(1)
    _require_one_voter_per_host(cluster)


def test_two_dead_voters_of_one_host_are_replaced() -> None:
    """Guards against members that an earlier version left behind.

    That version promoted a replacement before it removed the old voter, and
    could keep both.
    """
    members = Members(
        voters=['a.0', 'a.1', 'b.0', 'c.0'], joining={'a.1': 'a.0'}
    )
    retire = MemberChange(kind=ChangeKind.RETIRE, node_id='a.1')
    members = apply_change(members, retire)
    assert members == Members(voters=['a.1', 'b.0', 'c.0'])
    assert voter_to_replace(members, 'a.2') == 'a.1'


def test_replacement_that_is_lost_after_the_old_voter_is_superseded() -> None:
    members = Members(
        voters=['b.0', 'c.0'], learners=['a.1'], joining={'a.1': ''}
    )
    join = MemberChange(kind=ChangeKind.JOIN, node_id='a.2')
    assert apply_change(members, join) == Members(
        voters=['b.0', 'c.0'], learners=['a.2'], joining={'a.2': ''}
    )


_node_ids = st.builds(
    '{}.{}'.format, st.sampled_from(_HOST_NAMES), st.integers(0, 3)
)
_changes = st.builds(
    MemberChange,
    kind=st.sampled_from(list(ChangeKind)),
    node_id=_node_ids,
    replaces=st.one_of(st.just(''), _node_ids),
)


@given(changes=st.lists(_changes, max_size=30))
def test_any_majority_overlaps_the_majorities_of_the_next_members(
    changes: list[MemberChange],
) -> None:
    members = Members(voters=['a.0', 'b.0', 'c.0'])
    for change in changes:
        try:
            following = apply_change(members, change)
        except MembershipError:
            continue
        before, after = set(members.voters), set(following.voters)
        assert len(before ^ after) <= 1
        smallest = members.quorum + following.quorum
        assert smallest > len(before | after)
        assert set(following.joining) <= set(following.all_members)
        members = following
