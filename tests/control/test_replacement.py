"""Tests of three real control hosts in one process."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from control.fakes import sync_message
from control.real_hosts import RealHost, RealHosts, await_true

from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.rpc import ControlRequests
from apricotcart.errors.tree import (
    ClusterError,
    NotLeaderError,
    UnavailableError,
)
from apricotcart.observability.metrics import Metrics
from apricotcart.observability.telemetry import Telemetry
from apricotcart.observability.tracing import Tracer

pytestmark = pytest.mark.timeout(300)


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[RealHosts]:
    """Return three running hosts."""
    hosts = RealHosts(tmp_path)
    yield hosts
    hosts.stop()


def follower(cluster: RealHosts) -> str:
    """Return the name of a host that does not lead."""
    leader = cluster.leader()
    return next(name for name in cluster.hosts if name != leader.name)


def await_voter(cluster: RealHosts, host: RealHost) -> None:
    """Wait until all hosts see a host as the only voter of its name."""
    expected = sorted(
        host.node_id if name == host.name else f'{name}.0'
        for name in cluster.hosts
    )
    await_true(
        lambda: all(
            other.voters() == expected for other in cluster.hosts.values()
        )
    )


def test_lost_directory_rejoins(cluster: RealHosts) -> None:
    """Guards against a lost data directory that costs the cluster a voter."""
    for number in range(50):
        cluster.write(f'c{number}')
    fresh = cluster.lose_directory(follower(cluster))
    assert fresh.node_id != f'{fresh.name}.0'
    await_voter(cluster, fresh)
    cluster.write('last')
    await_true(lambda: bool(fresh.machine.state.get('customer', 'last')))
    assert len(fresh.machine.state.list('customer')) == 51
    # The new identity has a vote: it forms a quorum without a third host.
    leader = cluster.leader()
    other = next(
        host
        for host in cluster.hosts.values()
        if host.name not in {leader.name, fresh.name}
    )
    other.links.is_partitioned = True
    cluster.write('without', other)
    assert not any(host.failures for host in cluster.hosts.values())


def test_second_loss_while_joining(cluster: RealHosts) -> None:
    """Guards against a member left over from an identity lost while joining."""
    cluster.write('first')
    name = follower(cluster)
    lost = cluster.lose_directory(name, only_joins=True)
    leader = cluster.leader()
    await_true(
        lambda: lost.node_id in leader.loop.status()['members']['learners']
    )
    fresh = cluster.lose_directory(name)
    assert fresh.node_id != lost.node_id
    await_voter(cluster, fresh)
    await_true(lambda: bool(fresh.machine.state.get('customer', 'first')))
    members = cluster.leader().loop.status()['members']
    assert not members['learners']
    assert not members['joining']


def test_partitioned_leader_answers_no_sync(cluster: RealHosts) -> None:
    """Guards against a replaced leader that answers a sync.

    The leader has not detected the partition yet, while the other hosts may
    have committed the withdrawal of a key.
    """
    cluster.write('first')
    old = cluster.leader()
    loop: Any = old.loop
    telemetry = Telemetry(Tracer('control', old.name, None), Metrics())
    requests = ControlRequests(
        loop, old.machine.state, EntryHosts(0), telemetry
    )
    assert requests.answer(sync_message())['ok']
    old.links.is_partitioned = True
    with pytest.raises(ClusterError):
        requests.answer(sync_message())
    with pytest.raises((UnavailableError, NotLeaderError)):
        old.loop.propose({'kind': 'usage_close', 'window': 1}, 3)
    cluster.write('second', old)
    with pytest.raises(ClusterError):
        requests.answer(sync_message())
    old.links.is_partitioned = False
    await_true(lambda: bool(old.machine.state.get('customer', 'second')))
