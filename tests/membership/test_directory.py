"""Tests of host discovery on an entry host."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from apricotcart.membership.directory import (
    LEAVE_MARGIN_S,
    TTL_S,
    HostDirectory,
    answers_expired_at,
)
from apricotcart.membership.errors import HostsUnknownError
from apricotcart.membership.records import HostEntry, HostList, HostReport
from apricotcart.membership.table import HostTable


def host_list(digest: str, **zones: list[float]) -> HostList:
    """Return a list with one host for each weight given for a zone."""
    entries = [
        HostEntry(
            host=f'{zone}{number}',
            address=f'{zone}{number}',
            zone=zone,
            weight=weight,
        )
        for zone, weights in zones.items()
        for number, weight in enumerate(weights)
    ]
    return HostList(digest=digest, entries=entries)


@pytest.fixture
def directory() -> HostDirectory:
    """Return a directory without a list."""
    return HostDirectory(zone='a', rng=random.Random(1))


def test_answer_own_zone_first(directory: HostDirectory) -> None:
    """Guards against several addresses in one zone, which may fail."""
    directory.apply(host_list('x', a=[1, 1], b=[1], c=[1], d=[1]), 0)
    for zone in ('a', 'b', 'c', 'd', None):
        addresses = directory.answer(1, zone).addresses
        assert addresses[0].startswith(zone or 'a')
        assert len({address[0] for address in addresses}) == 3
    assert len(directory.answer(1, 'elsewhere').addresses) == 3
    directory.apply(host_list('y', a=[1, 1], b=[1]), 1)
    assert len(set(directory.answer(1).addresses)) == 3
    assert len(directory.answer(1, count=9).addresses) == 3


@pytest.mark.parametrize('seed', range(5))
def test_answer_even_while_cached(seed: int) -> None:
    """Guards against hosts that get more callers than others.

    Callers cache their answers for the whole time to live, and then ask the
    host that they use.
    """
    rng = random.Random(seed)
    hosts = host_list('x', a=[1, 1], b=[1, 1], c=[1, 1], d=[1])
    directories = {
        entry.host: HostDirectory(zone=entry.zone, rng=rng)
        for entry in hosts.entries or ()
    }
    for host_directory in directories.values():
        host_directory.apply(hosts, 0)
    callers = [(zone, f'{zone}0') for zone in 'abcd' for _ in range(100)]
    for _ in range(4):
        callers = [
            (zone, directories[host].answer(1, zone).addresses[0])
            for zone, host in callers
        ]
    counts = Counter(host for _, host in callers)
    for host in ('a0', 'a1', 'b0', 'b1', 'c0', 'c1'):
        assert 45 <= counts[host] <= 55
    assert counts['d0'] == 100


def test_answer_next_addresses_even(directory: HostDirectory) -> None:
    """Guards against one host that gets all callers of a lost one."""
    directory.apply(host_list('x', a=[1], b=[1, 1], c=[1, 1]), 0)
    counts = Counter(directory.answer(1).addresses[1] for _ in range(100))
    assert all(20 <= counts[host] <= 30 for host in ('b0', 'b1', 'c0', 'c1'))


def test_answer_returning_host(directory: HostDirectory) -> None:
    """Guards against full load on a host that has just returned."""
    directory.apply(host_list('x', a=[0.25], b=[1]), 0)
    only_host_in_zone = Counter(
        directory.answer(1).addresses[0] for _ in range(100)
    )
    assert only_host_in_zone['a0'] <= 45
    directory.apply(host_list('y', a=[0.25, 1], b=[1]), 0.5)
    with_other = Counter(directory.answer(1).addresses[0] for _ in range(100))
    assert 18 <= with_other['a0'] <= 22
    assert with_other['a1'] >= 78


def test_answer_expires_with_list(directory: HostDirectory) -> None:
    """Guards against answers that outlive the confirmation of the list."""
    with pytest.raises(HostsUnknownError):
        directory.answer(0)
    directory.apply(host_list('x', a=[1]), 10)
    assert directory.answer(10).ttl_s == TTL_S
    assert directory.answer(13).ttl_s == TTL_S - 3
    directory.apply(HostList(digest=None, entries=None), 14)
    directory.apply(host_list('older', b=[1]), 9)
    with pytest.raises(HostsUnknownError):
        directory.answer(14.8)
    directory.apply(HostList(digest='x', entries=None), 14.9)
    assert directory.answer(15).addresses == ['a0']
    # The digest of a list that this host does not hold confirms nothing.
    directory.apply(HostList(digest='y', entries=None), 16)
    assert directory.answer(16).ttl_s == pytest.approx(3.9)


class Departure:
    """A host that leaves while syncs are lost and the leader changes.

    Time runs in ticks of 0.25 s. From a random tick on, new leaders that know
    no hosts take over for 3 s.
    """

    def __init__(self, seed: int, *, confirms_unknown: bool) -> None:
        self.rng = random.Random(seed)
        self.table = HostTable(0)
        self.directory = HostDirectory(zone='a', rng=self.rng)
        self.confirms_unknown = confirms_unknown
        self.takeover_tick = self.rng.randrange(30, 56)
        self.acknowledged_at: float | None = None
        self.cached_until = float(-1)

    def run(self) -> bool:
        """Return whether a cached answer has the host for too long."""
        for tick in range(1, 120):
            now = tick / 4
            if self.takeover_tick <= tick < self.takeover_tick + 12:
                self.table.reset(now)
            else:
                self.sync(now)
            self.ask(now)
        assert self.acknowledged_at is not None
        return (
            self.cached_until
            > answers_expired_at(self.acknowledged_at) - LEAVE_MARGIN_S
        )

    def sync(self, now: float) -> None:
        """Synchronize both hosts and the directory, each with some losses."""
        state = 'leaving' if now > 10 else 'serving'
        self.table.tick(now)
        if self.rng.randrange(10) < 7:
            self.table.on_sync(now, _report('leaver', state))
            self.table.on_sync(now, _report('other', 'serving'))
            if state == 'leaving' and self.acknowledged_at is None:
                self.acknowledged_at = now
        if self.rng.randrange(10) < 6:
            hosts = self.table.list_for(now, self.directory.held_digest)
            if self.confirms_unknown and hosts.digest is None:
                hosts.digest = self.directory.held_digest
            self.directory.apply(hosts, now - self.rng.uniform(0, 0.4))

    def ask(self, now: float) -> None:
        """Record until when a caller caches an answer with the host."""
        try:
            answer = self.directory.answer(now, count=2)
        except HostsUnknownError:
            return
        if 'leaver' in answer.addresses:
            self.cached_until = now + answer.ttl_s


def test_leaving_host_is_in_no_cached_answer() -> None:
    """Guards against a planned stop while a caller still has the address."""
    runs = [Departure(seed, confirms_unknown=False).run() for seed in range(50)]
    assert not any(runs)


def test_leaving_host_with_unconfirmed_list() -> None:
    """Shows that the scenario above fails with a faulty leader.

    Here the reply of a leader that does not know the hosts yet confirms the
    list.
    """
    runs = [Departure(seed, confirms_unknown=True).run() for seed in range(50)]
    assert any(runs)


def _report(host: str, state: str) -> HostReport:
    return HostReport(
        host=host,
        incarnation=1,
        address=host,
        zone='a',
        state=state,
    )
