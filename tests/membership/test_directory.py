"""Tests of the answers to which host to use."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from apricotcart.membership.directory import (
    LEAVE_MARGIN_S,
    TTL_S,
    HostDirectory,
    leave_at,
)
from apricotcart.membership.errors import HostsUnknownError
from apricotcart.membership.records import HostEntry, HostList, HostReport
from apricotcart.membership.table import HostTable


def host_list(digest: str, **zones: list[float]) -> HostList:
    """Build a list with a host of each weight in each zone."""
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
    """Give a directory without a list."""
    return HostDirectory(zone='a', rng=random.Random(1))


def test_answer_own_zone_first(directory: HostDirectory) -> None:
    """Guards against several addresses in a zone that may be lost."""
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

    Callers keep their answers for the whole time to live, and ask the host
    that they were sent to.
    """
    rng = random.Random(seed)
    listed = host_list('x', a=[1, 1], b=[1, 1], c=[1, 1], d=[1])
    directories = {
        entry.host: HostDirectory(zone=entry.zone, rng=rng)
        for entry in listed.entries or ()
    }
    for each in directories.values():
        each.apply(listed, 0)
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
    """Guards against one host that takes all callers of a lost one."""
    directory.apply(host_list('x', a=[1], b=[1, 1], c=[1, 1]), 0)
    counts = Counter(directory.answer(1).addresses[1] for _ in range(100))
    assert all(20 <= counts[host] <= 30 for host in ('b0', 'b1', 'c0', 'c1'))


def test_answer_returning_host(directory: HostDirectory) -> None:
    """Guards against a full load for a host that has just returned."""
    directory.apply(host_list('x', a=[0.25], b=[1]), 0)
    alone = Counter(directory.answer(1).addresses[0] for _ in range(100))
    assert alone['a0'] <= 45
    directory.apply(host_list('y', a=[0.25, 1], b=[1]), 0.5)
    beside = Counter(directory.answer(1).addresses[0] for _ in range(100))
    assert 18 <= beside['a0'] <= 22
    assert beside['a1'] >= 78


def test_answer_expires_with_list(directory: HostDirectory) -> None:
    """Guards against answers that outlive the proof of the list."""
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
    # A list that this host does not hold proves nothing.
    directory.apply(HostList(digest='y', entries=None), 16)
    assert directory.answer(16).ttl_s == pytest.approx(3.9)


class Departure:
    """A host that leaves while entry hosts lose syncs and a leader falls.

    Time runs in ticks of 0.25 s. The leader changes for 3 s at a random
    tick; the new one has heard of no host.
    """

    def __init__(self, seed: int, *, renews: bool) -> None:
        self.rng = random.Random(seed)
        self.table = HostTable(0)
        self.directory = HostDirectory(zone='a', rng=self.rng)
        self.renews = renews
        self.takeover = self.rng.randrange(30, 56)
        self.acked_at: float | None = None
        self.kept_until = float(-1)

    def run(self) -> bool:
        """Say whether an answer with the host outlives its safe time."""
        for tick in range(1, 120):
            now = tick / 4
            if self.takeover <= tick < self.takeover + 12:
                self.table.reset(now)
            else:
                self.sync(now)
            self.ask(now)
        assert self.acked_at is not None
        return self.kept_until > leave_at(self.acked_at) - LEAVE_MARGIN_S

    def sync(self, now: float) -> None:
        """Let both hosts and the directory sync, each with some losses."""
        state = 'leaving' if now > 10 else 'serving'
        self.table.tick(now)
        if self.rng.randrange(10) < 7:
            self.table.on_sync(now, _report('leaver', state))
            self.table.on_sync(now, _report('other', 'serving'))
            if state == 'leaving' and self.acked_at is None:
                self.acked_at = now
        if self.rng.randrange(10) < 6:
            listed = self.table.list_for(now, self.directory.held)
            if self.renews and listed.digest is None:
                listed.digest = self.directory.held
            self.directory.apply(listed, now - self.rng.uniform(0, 0.4))

    def ask(self, now: float) -> None:
        """Note until when a caller keeps an answer with the host."""
        try:
            answer = self.directory.answer(now, count=2)
        except HostsUnknownError:
            return
        if 'leaver' in answer.addresses:
            self.kept_until = now + answer.ttl_s


def test_leaving_host_is_in_no_kept_answer() -> None:
    """Guards against a planned stop while a caller still has the address."""
    runs = [Departure(seed, renews=False).run() for seed in range(50)]
    assert not any(runs)


def test_leaving_host_with_unproved_list() -> None:
    """Guards against a scenario above that no fault could make fail.

    Here a leader that does not know the hosts yet counts as proof.
    """
    runs = [Departure(seed, renews=True).run() for seed in range(50)]
    assert any(runs)


def _report(host: str, state: str) -> HostReport:
    return HostReport(
        host=host,
        incarnation=1,
        address=host,
        zone='a',
        state=state,
    )
