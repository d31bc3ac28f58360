"""Elections among hosts that answer slowly, as busy ones do."""

from __future__ import annotations

from typing import Final

import pytest
from consensus.cluster import Cluster

_SEEDS: Final = range(12)
# Delays of a message in seconds, and the time from the loss of the leader until
# a change must be accepted: `ack_ms` of a small and of a large deployment.
_SLOW: Final = ((0.05, 0.1), 4.0)
_SLOWER: Final = ((0.15, 0.25), 6.0)


@pytest.mark.parametrize('size', [5, 9])
@pytest.mark.parametrize(
    ('delay_s', 'limit_s'), [_SLOW, _SLOWER], ids=['slow', 'slower']
)
def test_slow_hosts_elect_a_leader(
    size: int, delay_s: tuple[float, float], limit_s: float
) -> None:
    """Guards against attempts that end before their votes arrive."""
    for seed in _SEEDS:
        cluster = Cluster(seed, size=size)
        leader = cluster.await_leader()
        cluster.run(1)
        cluster.delay_s = delay_s
        cluster.run(1)
        cluster.kill(leader)
        cluster.write_until_accepted(limit_s)
