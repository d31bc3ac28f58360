"""Guards against a quorum that does not know an acknowledged change."""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any, Final

import pytest
from consensus.cluster import Cluster, Host

from apricotcart.consensus.api import Completion, Role
from apricotcart.coordinator.applied_states import (
    AppliedState,
    AppliedStates,
    acknowledged_version,
)
from apricotcart.coordinator.messages import APPLIED_STATE
from apricotcart.errors.tree import UnavailableError

_HOSTS: Final = 5
_STEPS: Final = 120
_STEP_S: Final = 0.15


class SettledWrites:
    """Writes to a cluster, each followed by a wait until it has settled."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        # Number of writes that some acknowledgement covers.
        self.acknowledged = 0
        self.acknowledgements = 0
        self._numbers = itertools.count()

    def write(self) -> None:
        """Write to each host that takes itself for the leader."""
        for host in self._cluster.hosts.values():
            if host.node and host.node.role is Role.LEADER:
                self._write(host)

    def _write(self, host: Host) -> None:
        written: list[Completion] = []
        blob = b'%d' % next(self._numbers)
        self._cluster.call(
            host, lambda node, now: node.propose(now, blob), written.append
        )
        self._cluster.call_later(_STEP_S, lambda: self._settle(host, written))

    def _settle(self, host: Host, written: Sequence[Completion]) -> None:
        if not written or written[0].error is not None:
            return
        count = len(host.machine.writes)
        self._cluster.call(
            host,
            lambda node, now: node.read(now, is_settled=True),
            lambda completion: self._acknowledge(count, completion),
        )

    def _acknowledge(self, count: int, completion: Completion) -> None:
        if completion.error is None:
            self.acknowledged = max(self.acknowledged, count)
            self.acknowledgements += 1


def _answers(cluster: Cluster) -> list[AppliedState]:
    return [
        AppliedState(
            node_id=host.node_id,
            members_index=host.node.members_index,
            voter_sets=(
                host.node.members.voters,
                host.node.committed_members.voters,
            ),
            version=len(host.machine.writes),
        )
        for host in cluster.hosts.values()
        if host.node and not host.is_frozen and host.node.is_recovered
    ]


def _disturb(cluster: Cluster, rng: random.Random) -> None:
    host = rng.choice(list(cluster.hosts.values()))
    fault = rng.randrange(8)
    if host.node is None or host.is_frozen:
        return
    if fault in {0, 1}:
        cluster.kill(host, power_loss=bool(fault))
        cluster.call_later(rng.uniform(0, 2), lambda: cluster.start(host))
    if fault in {2, 3}:
        cluster.freeze(host, rng.uniform(0.1, 3))
    if fault in {4, 5}:
        cluster.isolate(host, rng.uniform(0.1, 3), rng.randint(1, 3))
    if fault == 6 and cluster.is_repaired():
        cluster.lose_disk(host)


@pytest.mark.parametrize('seed', range(25))
def test_every_quorum_knows_what_was_acknowledged(seed: int) -> None:
    rng = random.Random(seed)
    cluster = Cluster(seed, size=_HOSTS)
    cluster.await_leader()
    writes = SettledWrites(cluster)
    confirmations = 0
    for step in range(_STEPS):
        writes.write()
        if step % 4 == 0:
            _disturb(cluster, rng)
        for host in cluster.hosts.values():
            cluster.join(host)
        cluster.run(rng.uniform(0, 2 * _STEP_S))
        answers = _answers(cluster)
        for _ in range(10):
            some = rng.sample(answers, rng.randint(0, len(answers)))
            known = acknowledged_version(some)
            if known is not None:
                confirmations += 1
                assert known >= writes.acknowledged
    assert writes.acknowledgements
    assert confirmations


def _state(
    node_id: str, version: int, *voter_sets: str, index: int = 1
) -> AppliedState:
    return AppliedState(
        node_id=node_id,
        members_index=index,
        voter_sets=[list(voters) for voters in voter_sets],
        version=version,
    )


def test_minority_confirms_nothing() -> None:
    answers = [_state(node_id, 7, 'abcde', 'abcde') for node_id in 'ab']
    assert acknowledged_version(answers) is None
    assert acknowledged_version([*answers, _state('c', 8, 'abcde')]) == 8


def test_uncommitted_members_need_a_majority_of_the_committed_ones() -> None:
    """Guards against a lost leader whose last change nobody else knows."""
    answers = [
        _state('a', 7, 'abc', 'abcd', index=5),
        _state('b', 7, 'abcd', 'abcd'),
    ]
    assert acknowledged_version(answers) is None


def test_removed_host_does_not_hold_up_the_others() -> None:
    answers = [
        _state('x', 3, 'axyz', index=1),
        *(_state(node_id, 9, 'abc', index=4) for node_id in 'ab'),
    ]
    assert acknowledged_version(answers) == 9


def test_host_that_replays_its_log_does_not_answer() -> None:
    """Guards against an older version than it has answered before."""
    published = SimpleNamespace(
        is_recovered=False, members_index=1, voter_sets=(['a'], ['a'])
    )
    loop: Any = SimpleNamespace(published=published)
    state: Any = SimpleNamespace(version=3, document=b'3')
    answer = AppliedStates('a', loop, state).handlers()[APPLIED_STATE]
    with pytest.raises(UnavailableError):
        answer({'version': 3})
    published.is_recovered = True
    assert AppliedState.from_wire(answer({'version': 3})).document is None
    assert AppliedState.from_wire(answer({'version': 2})).document
