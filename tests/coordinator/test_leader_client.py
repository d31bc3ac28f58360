"""Guards against gateways that do not find the leader in time."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Final

import pytest

from apricotcart.coordinator import leader_client as client_module
from apricotcart.coordinator.addresses import Ports
from apricotcart.coordinator.leader_client import (
    HOST_TIMEOUT_S,
    LeaderClient,
)
from apricotcart.coordinator.leader_search import LeaderSearch
from apricotcart.coordinator.messages import KIND, REPLACE, SYNC, TERM
from apricotcart.errors.tree import (
    ApricotcartError,
    NotLeaderError,
    UnavailableError,
)
from apricotcart.transport.api import WireMessage

_PORTS: Final = Ports(7000)
# Time within which an acknowledged change is in force, in seconds.
_APPLY_BOUND_S: Final = 2.0
_SYNC_INTERVAL_S: Final = 0.3
_SYNC_TIMEOUT_S: Final = 1.2
# Time a host waits for a quorum before it refuses a call, in seconds.
_CONFIRM_TIMEOUT_S: Final = 0.7
_ROUND_TRIP_S: Final = 0.01
_SLOW_ANSWER_S: Final = 0.6
_SEEDS: Final = range(20)
# Time after an election within which gateways find the new leader, in seconds:
# an interval between two syncs, and the hosts that are asked first.
_FOUND_AFTER_S: Final = 0.5


class Hosts:
    """Control hosts of which some lead, follow, stall or are off."""

    def __init__(self) -> None:
        self.now: float = 100
        self.answers: dict[str, Callable[[float], WireMessage]] = {}

    def boot_clock_s(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds

    def call(
        self, address: str, message: WireMessage, timeout_s: float
    ) -> WireMessage:
        for ip, answer in self.answers.items():
            if _PORTS.request_address(ip) == address:
                return answer(timeout_s)
        return self.off(timeout_s)

    def off(self, timeout_s: float) -> WireMessage:
        self.now += timeout_s
        raise UnavailableError('no answer')

    def leading(self, timeout_s: float) -> WireMessage:
        self.now += _ROUND_TRIP_S
        return {'ok': True, TERM: 1}

    def stalled(self, timeout_s: float) -> WireMessage:
        if timeout_s < _CONFIRM_TIMEOUT_S:
            return self.off(timeout_s)
        self.now += _CONFIRM_TIMEOUT_S
        return _refusal(UnavailableError('no quorum answered'))

    def following(
        self, leader: str, term: int, **contact: float
    ) -> Callable[[float], WireMessage]:
        def answer(timeout_s: float) -> WireMessage:  # noqa: WPS430
            self.now += _ROUND_TRIP_S
            identity = f'{leader}.1' if leader else ''
            return _refusal(
                NotLeaderError('no', leader=identity, term=term, **contact)
            )

        return answer


def _refusal(exc: ApricotcartError) -> WireMessage:
    return {
        'ok': False,
        'code': exc.code,
        'message': exc.message,
        'context': exc.context,
    }


@pytest.fixture
def hosts(monkeypatch: pytest.MonkeyPatch) -> Hosts:
    """Return control hosts that share a clock with the client."""
    hosts = Hosts()
    monkeypatch.setattr(client_module, 'boot_clock_s', hosts.boot_clock_s)
    monkeypatch.setattr(client_module, 'sleep', hosts.sleep)
    return hosts


def _client(hosts: Hosts, seed: int) -> LeaderClient:
    clients: Any = hosts
    search = LeaderSearch(['a', 'b', 'c'])
    search._rng = random.Random(seed)  # noqa: SLF001
    return LeaderClient(_PORTS, clients, search)


def _prefer(client: LeaderClient, ip: str) -> None:
    client.follow_hint(NotLeaderError('no', leader=f'{ip}.1'))


def _time_to_leader_s(client: LeaderClient, hosts: Hosts) -> float:
    started_at = hosts.now
    while hosts.now < started_at + 10:
        try:
            client.call({KIND: SYNC}, _SYNC_TIMEOUT_S, HOST_TIMEOUT_S)
        except ApricotcartError:
            hosts.now += _SYNC_INTERVAL_S
        else:
            break
    return hosts.now - started_at


def test_leader_without_quorum_is_not_kept_while_another_leads(
    hosts: Hosts,
) -> None:
    """Seen on sailom-fleet: the leader's disk stalled for 6 s."""
    client = _client(hosts, 1)
    hosts.answers = {'a': hosts.leading}
    _prefer(client, 'a')
    client.call({KIND: SYNC}, _SYNC_TIMEOUT_S, HOST_TIMEOUT_S)
    hosts.answers = {
        'a': hosts.stalled,
        'b': hosts.leading,
        'c': hosts.following('b', 2),
    }
    assert _time_to_leader_s(client, hosts) < _APPLY_BOUND_S


def test_unresponsive_host_is_not_asked_again_before_the_others(
    hosts: Hosts,
) -> None:
    """Seen on sailom-fleet: a gateway asked the dead leader four times."""
    following = hosts.following('e', 2)
    hosts.answers = {
        'b': following,
        'c': following,
        'd': following,
        'e': hosts.leading,
    }
    for seed in _SEEDS:
        client = _client(hosts, seed)
        client.replace_members(['a.1', 'b.1', 'c.1', 'd.1', 'e.1'])
        _prefer(client, 'a')
        assert _time_to_leader_s(client, hosts) < _APPLY_BOUND_S


def test_outdated_hint_does_not_lead_back_to_an_unresponsive_host(
    hosts: Hosts,
) -> None:
    """A removed host keeps naming the leader of the term it last saw."""
    hosts.answers = {
        'b': hosts.following('a', 1),
        'c': hosts.following('a', 1),
        'd': hosts.leading,
    }
    for seed in _SEEDS:
        client = _client(hosts, seed)
        client.replace_members(['a.1', 'b.1', 'c.1', 'd.1'])
        _prefer(client, 'a')
        assert _time_to_leader_s(client, hosts) < _APPLY_BOUND_S


def test_replaced_hosts_do_not_delay_the_search(hosts: Hosts) -> None:
    """Each replaced host that is asked costs a timeout."""
    hosts.answers = {'d': hosts.following('h', 2), 'h': hosts.leading}
    for seed in _SEEDS:
        client = _client(hosts, seed)
        client.replace_members(['d.1', 'e.1', 'f.1'])
        client.replace_members(['d.1', 'g.1', 'h.1'])
        _prefer(client, 'g')
        assert _time_to_leader_s(client, hosts) < _APPLY_BOUND_S


def test_hint_of_an_older_term_is_not_followed(hosts: Hosts) -> None:
    """A host that was removed keeps its hint while others have newer ones."""
    for seed in _SEEDS:
        client = _client(hosts, seed)
        hosts.answers = {'a': hosts.following('b', 5), 'b': hosts.leading}
        _prefer(client, 'a')
        assert _time_to_leader_s(client, hosts) < _SYNC_INTERVAL_S
        hosts.answers = {
            'b': hosts.off,
            'c': hosts.leading,
            'a': hosts.following('x', 4),
        }
        assert _time_to_leader_s(client, hosts) < _APPLY_BOUND_S


@pytest.mark.parametrize('contact', [{}, {'heard_s': 0.1}])
def test_slow_leader_is_asked_again_with_more_time(
    hosts: Hosts, contact: dict[str, float]
) -> None:
    """A leader with a slow disk confirms itself late, but it still leads."""

    def slow(timeout_s: float) -> WireMessage:  # noqa: WPS430
        if timeout_s < _SLOW_ANSWER_S:
            return hosts.off(timeout_s)
        hosts.now += _SLOW_ANSWER_S
        return {'ok': True}

    following = hosts.following('a', 1, **contact)
    hosts.answers = {'a': slow, 'b': following, 'c': following}
    for seed in _SEEDS:
        assert _time_to_leader_s(_client(hosts, seed), hosts) < _APPLY_BOUND_S


class Election:
    """A leader that stands still, until another host is elected."""

    def __init__(self, hosts: Hosts, elected_after_s: float) -> None:
        self._hosts = hosts
        self.elected_at = hosts.now + elected_after_s
        self._before = hosts.following('a', 1)
        self._after = hosts.following('e', 2)

    def answers(self) -> dict[str, Callable[[float], WireMessage]]:
        """Return the answers of five control hosts."""
        following = {name: self._follow for name in ('b', 'c', 'd')}
        return {'a': self._hosts.off, 'e': self._elected, **following}

    def _follow(self, timeout_s: float) -> WireMessage:
        is_over = self._hosts.now >= self.elected_at
        return (self._after if is_over else self._before)(timeout_s)

    def _elected(self, timeout_s: float) -> WireMessage:
        is_over = self._hosts.now >= self.elected_at
        return (self._hosts.leading if is_over else self._before)(timeout_s)


def _client_of_stalled_leader(hosts: Hosts, seed: int) -> LeaderClient:
    client = _client(hosts, seed)
    client.replace_members(['a.1', 'b.1', 'c.1', 'd.1', 'e.1'])
    hosts.answers = {'a': hosts.leading}
    _prefer(client, 'a')
    client.call({KIND: SYNC}, _SYNC_TIMEOUT_S, HOST_TIMEOUT_S)
    return client


@pytest.mark.parametrize('elected_after_s', [2.1, 2.3, 2.5])
def test_host_named_by_others_is_not_asked_in_vain_during_an_election(
    hosts: Hosts, elected_after_s: float
) -> None:
    """Guards against requests that obey an older state for too long.

    All other hosts name the stalled leader until they elect another one.
    """
    for seed in _SEEDS:
        client = _client_of_stalled_leader(hosts, seed)
        hosts.now += random.Random(seed).uniform(0, _SYNC_INTERVAL_S)
        election = Election(hosts, elected_after_s)
        hosts.answers = election.answers()
        _time_to_leader_s(client, hosts)
        assert hosts.now < election.elected_at + _FOUND_AFTER_S


def test_leader_that_others_hear_is_asked_again_at_once(hosts: Hosts) -> None:
    """Guards against a host that refuses changes for 2 s after it was frozen.

    Its calls to the leader had failed, while the others were in contact.
    """
    for seed in _SEEDS:
        client = _client_of_stalled_leader(hosts, seed)
        for _ in range(2):
            client._search.on_failure('a', hosts.now)  # noqa: SLF001
        following = hosts.following('a', 1, heard_s=0.1)
        hosts.answers = {name: following for name in ('b', 'c', 'd', 'e')}
        hosts.answers['a'] = hosts.leading
        assert _time_to_leader_s(client, hosts) < _FOUND_AFTER_S


def test_leader_that_nobody_hears_is_not_asked_again(hosts: Hosts) -> None:
    """Guards against a change that waits for the host that was just lost."""
    for seed in _SEEDS:
        client = _client_of_stalled_leader(hosts, seed)
        following = hosts.following('a', 1, heard_s=1.0)
        hosts.answers = {name: following for name in ('b', 'c', 'd', 'e')}
        started_at = hosts.now
        with pytest.raises(NotLeaderError):
            client.call({KIND: REPLACE}, 2.8, 0.7)
        assert hosts.now < started_at + 0.7 + _FOUND_AFTER_S


def test_change_is_passed_on_to_the_next_leader(hosts: Hosts) -> None:
    """Guards against a call that waits for a stalled leader to its end."""
    for seed in _SEEDS:
        client = _client_of_stalled_leader(hosts, seed)
        election = Election(hosts, 2.1)
        hosts.answers = election.answers()
        hosts.now += 0.3
        client.call_until_answered({KIND: REPLACE}, 2.8, 0.7)
        assert hosts.now < election.elected_at + _FOUND_AFTER_S


def test_host_is_not_asked_when_too_little_time_is_left(hosts: Hosts) -> None:
    """Guards against a healthy host that counts as failed after 2 ms."""
    asked = []

    def late(timeout_s: float) -> WireMessage:  # noqa: WPS430
        asked.append(timeout_s)
        return hosts.off(timeout_s - 0.002)

    for seed in _SEEDS:
        asked.clear()
        hosts.answers = {'a': late, 'b': late, 'c': late}
        with pytest.raises(UnavailableError):
            _client(hosts, seed).call({KIND: SYNC}, 0.4, 0.4)
        assert len(asked) == 1


def test_search_ends_after_a_few_refusals(hosts: Hosts) -> None:
    """Guards against a storm of calls of hundreds of gateways."""
    calls = []

    def follow(timeout_s: float) -> WireMessage:  # noqa: WPS430
        calls.append(timeout_s)
        return hosts.following('', 1)(timeout_s)

    names = 'abcdefghi'
    hosts.answers = dict.fromkeys(names, follow)
    client = _client(hosts, 1)
    client.replace_members(f'{name}.1' for name in names)
    with pytest.raises(NotLeaderError):
        client.call({KIND: SYNC}, _SYNC_TIMEOUT_S, HOST_TIMEOUT_S)
    assert len(calls) == 3
