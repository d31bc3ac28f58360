"""Guards against a copy that waits for a leader to be confirmed."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any, Final

import pytest

from apricotcart.coordinator.applied_states import AppliedState
from apricotcart.gateway.quorum_check import QuorumCheck

_HOSTS: Final = ('10.0.0.1', '10.0.0.2', '10.0.0.3', '10.0.0.4', '10.0.0.5')


class ControlHosts:
    """Control hosts, some of which do not answer."""

    def __init__(self) -> None:
        self.hosts = _HOSTS
        self.versions = dict.fromkeys(_HOSTS, 7)
        self.calls = 0

    def call(self, ip: str, message: Any) -> Any:
        self.calls += 1
        if ip not in self.versions:
            return None
        applied = AppliedState(
            node_id=f'{ip}.0',
            members_index=1,
            voter_sets=[[f'{host}.0' for host in _HOSTS]],
            version=self.versions[ip],
        )
        return {'ok': True, **applied.to_wire()}


class OldCopy:
    """Copy of version 7, which was not confirmed for some time."""

    def __init__(self) -> None:
        self.is_known = True
        self.version = 7
        self.age: float = 1

    def age_s(self) -> float:
        return self.age


class Learned:
    """Records what a quorum has confirmed."""

    def __init__(self) -> None:
        self.versions: list[int] = []

    def learn(
        self, version: int, asked_at: float, states: Collection[Any]
    ) -> None:
        self.versions.append(version)


class Scenario:
    """A gateway without a leader."""

    def __init__(self) -> None:
        self.hosts = ControlHosts()
        self.copy = OldCopy()
        self.learned = Learned()
        parts: tuple[Any, ...] = (self.hosts, self.copy, self.learned)
        self.check = QuorumCheck(*parts)


@pytest.fixture
def scenario() -> Scenario:
    """Return a gateway whose copy was not confirmed recently."""
    return Scenario()


def test_copy_is_confirmed_while_the_leader_and_another_host_are_lost(
    scenario: Scenario,
) -> None:
    for ip in _HOSTS[:2]:
        scenario.hosts.versions.pop(ip)
    scenario.check.run()
    assert scenario.learned.versions == [7]


def test_change_that_any_host_of_the_quorum_has_is_learned(
    scenario: Scenario,
) -> None:
    scenario.hosts.versions = {_HOSTS[2]: 7, _HOSTS[3]: 8, _HOSTS[4]: 7}
    scenario.check.run()
    assert scenario.learned.versions == [8]


def test_minority_confirms_no_copy(scenario: Scenario) -> None:
    for ip in _HOSTS[:3]:
        scenario.hosts.versions.pop(ip)
    scenario.check.run()
    assert not scenario.learned.versions


def test_copy_that_a_leader_confirms_asks_nobody(scenario: Scenario) -> None:
    scenario.copy.age = 0.3
    scenario.check.run()
    assert not scenario.hosts.calls
