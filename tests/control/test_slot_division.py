"""Tests of the background division of slots."""

from __future__ import annotations

from typing import Any

import pytest
from control.fakes import FakeLoop, sync_message
from hypothesis import given
from hypothesis import strategies as st

from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.slot_division import SlotDivider
from apricotcart.membership.table import DISCOVERY_S
from apricotcart.state.machine import ClusterState

SLOTS = 5
_REQUEST_COUNTS = st.integers(0, 9)


class Leader:
    """A divider with a fake clock and the endpoints e0 and e1."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        """Declare the endpoints."""
        self.now: float = 0
        patch.setattr(
            'apricotcart.control.slot_division.boot_clock_s',
            lambda: self.now,
        )
        self.loop = FakeLoop(ClusterState())
        self.hosts = EntryHosts(0)
        fake: Any = self.loop
        self.divider = SlotDivider(fake, self.loop.state, self.hosts)
        changes = [_change('pool', 'p', {'kind': 'engine', 'max_queue': 9})]
        for number in range(2):
            changes.append(
                _change(
                    'endpoint',
                    f'e{number}',
                    {
                        'pool': 'p',
                        'url': f'http://127.0.0.1:{number + 1}',
                        'zone': 'a',
                        'slots': SLOTS,
                    },
                )
            )
        command = {'kind': 'apply', 'op_id': 'x', 'changes': changes}
        assert self.loop.propose(command, 1)['ok']

    def sync(self, host: str, queued: int, running: int = 0) -> None:
        """Synchronise the demand of a host."""
        tier = {'pool': 'p', 'tier': 0, 'weight': 1.0}
        tiers = [{**tier, 'queued': queued, 'in_flight': running}]
        demand = {'tiers': tiers, 'running': {'e0': running}}
        self.hosts.on_sync(
            self.now, self.loop.term_no, sync_message(host, demand=demand)
        )


def _change(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {'kind': kind, 'name': name, 'expected_version': 0, 'spec': spec}


@given(
    st.lists(
        st.tuples(_REQUEST_COUNTS, _REQUEST_COUNTS), min_size=1, max_size=6
    )
)
def test_shares_within_slots(counts: list[tuple[int, int]]) -> None:
    """Guards against shares that exceed the slots of an endpoint."""
    with pytest.MonkeyPatch.context() as patch:
        leader = Leader(patch)
        leader.now = DISCOVERY_S
        for number, (queued, running) in enumerate(counts):
            leader.sync(f'h{number}', queued, running)
        leader.now += DISCOVERY_S
        leader.divider.run()
        shares = [
            leader.hosts.slot_limits_for(leader.now, f'h{number}') or {}
            for number in range(len(counts))
        ]
    for endpoint in ('e0', 'e1'):
        assert sum(share.get(endpoint, 0) for share in shares) <= SLOTS


def test_divider_follower(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a division by a host that does not lead."""
    leader = Leader(monkeypatch)
    leader.sync('h1', 3)
    leader.now = DISCOVERY_S
    leader.loop.lease = 0
    leader.divider.run()
    assert leader.hosts.slot_limits_for(leader.now, 'h1') is None
    leader.loop.lease = 9
    leader.divider.run()
    assert leader.hosts.slot_limits_for(leader.now, 'h1')


def test_divider_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against slots of hosts without a sync that go to another host."""
    leader = Leader(monkeypatch)
    leader.sync('h1', 30)
    leader.divider.run()
    leader.now = DISCOVERY_S + 0.1
    assert leader.hosts.slot_limits_for(leader.now, 'h1') is None
