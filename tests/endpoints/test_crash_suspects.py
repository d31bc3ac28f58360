"""Guards against what crashes endpoints, and against wrong blame."""

from __future__ import annotations

from typing import Final

from apricotcart.endpoints.crash_reports import MAX_SUSPECTS, MergedReports
from apricotcart.endpoints.crash_suspects import (
    QUARANTINE_TTL_S,
    REPEATED_TTL_S,
    SUSPICION_TTL_S,
    CrashSuspects,
)
from apricotcart.endpoints.crashes import (
    FAULT_SPREAD_S,
    Crash,
    Suspect,
    SuspectKind,
)
from apricotcart.endpoints.culprits import CRASHES_TO_QUARANTINE


def _part(name: str) -> Suspect:
    return Suspect(SuspectKind.PART, name)


def _request(name: str) -> Suspect:
    return Suspect(SuspectKind.REQUEST, name)


_BAD: Final = _part('bad')
_SYSTEM: Final = _part('system')
# Time from the sending of a request to the crash.
_RUN_S: Final = 0.3


def _after(run_s: float, at: float) -> Crash:
    return Crash(sent_at=at - run_s, at=at)


def _crash(
    hosts: list[CrashSuspects],
    count: int,
    *suspects: Suspect,
    start: float = 100,
) -> float:
    """Crash one endpoint a second, seen by one host after the other."""
    for number in range(count):
        host = hosts[number % len(hosts)]
        crash = _after(_RUN_S, start + number)
        host.on_crash(crash, f'i-{start}-{number}', suspects)
    return start + count


def _sync(now: float, hosts: list[CrashSuspects]) -> None:
    merged = MergedReports()
    for host in hosts:
        for report in host.reports(now):
            merged.add(report, 0)
    for receiver in hosts:
        receiver.merge(now, merged.strongest())


def test_crashes_that_several_hosts_saw_are_joined() -> None:
    """Each of them alone has too little evidence."""
    hosts = [CrashSuspects() for _ in range(3)]
    now = _crash(hosts, CRASHES_TO_QUARANTINE, _SYSTEM, _BAD)
    hosts[0].on_success(now, [_SYSTEM, _part('other')])
    _sync(now, hosts)
    _sync(now, hosts)
    assert all(host.quarantined == {_BAD} for host in hosts)


def test_part_that_every_request_has_is_not_quarantined() -> None:
    """Sound requests of the route share it and are answered."""
    host = CrashSuspects()
    now: float = 100
    for number in range(10):
        host.on_crash(_after(_RUN_S, now), f'i-{number}', [_SYSTEM, _BAD])
        host.on_success(now + 0.1, [_SYSTEM, _part(f'p{number}')])
        now += 1
    assert host.quarantined == {_BAD}


def test_batch_mates_of_the_culprit_are_not_quarantined() -> None:
    """A part that is rare was begun beside three crashes of another one."""
    host = CrashSuspects()
    _crash([host], CRASHES_TO_QUARANTINE + 1, _BAD)
    for number in range(CRASHES_TO_QUARANTINE):
        crash = _after(_RUN_S, 100.1 + number)
        host.on_crash(crash, f'i-100-{number}', [_part('rare')])
    assert host.quarantined == {_BAD}


def test_endpoints_that_end_together_count_once() -> None:
    """A zone that loses power ends many endpoints at a time."""
    host = CrashSuspects()
    for number in range(10):
        crash = Crash(sent_at=99.9, at=100 + number / 100)
        host.on_crash(crash, f'i-{number}', [_part('rare')])
    assert not host.quarantined


def test_quarantine_survives_the_host_that_saw_the_crashes() -> None:
    """A gateway restarts, or the leader that joined the evidence is lost."""
    first, second, third = (CrashSuspects() for _ in range(3))
    now = _crash([first], CRASHES_TO_QUARANTINE, _BAD)
    _sync(now, [first, second])
    _sync(now + 1, [second, third])
    assert third.quarantined == {_BAD}


def test_success_on_one_host_releases_the_part_on_all() -> None:
    """A part that is blamed wrongly is released."""
    hosts = [CrashSuspects() for _ in range(3)]
    now = _crash(hosts, CRASHES_TO_QUARANTINE, _BAD)
    _sync(now, hosts)
    hosts[1].on_success(now + 1, [_BAD])
    _sync(now + 1, hosts)
    assert not any(host.quarantined for host in hosts)
    _sync(now + 2, hosts)
    assert not any(host.reports(now + 2) for host in hosts)


def test_quarantine_and_suspicion_end_with_time() -> None:
    """Hosts must not renew each other's evidence."""
    hosts = [CrashSuspects() for _ in range(2)]
    now = _crash(hosts, CRASHES_TO_QUARANTINE, _BAD)
    hosts[0].on_crash(_after(_RUN_S, now), 'i-x', [_part('rare')])
    _sync(now, hosts)
    later = now
    while later < now + SUSPICION_TTL_S + 5:
        later += 1
        _sync(later, hosts)
    assert all(host.quarantined == {_BAD} for host in hosts)
    assert [report.suspect for report in hosts[0].reports(later)] == [_BAD]
    while later < now + QUARANTINE_TTL_S + 5:
        later += 1
        _sync(later, hosts)
    assert not any(host.quarantined for host in hosts)


def test_reports_are_bounded() -> None:
    """Many crashes must not make syncs large."""
    host = CrashSuspects()
    for number in range(10 * MAX_SUSPECTS):
        host.on_crash(
            _after(_RUN_S, 100 + number / 1000), 'i', [_part(f'p{number}')]
        )
    assert len(host.reports(102)) <= MAX_SUSPECTS


def test_most_specific_of_several_parts_is_blamed() -> None:
    """Seen on csft-sealdesk: the part before the culprit was held for 29 s."""
    host = CrashSuspects()
    now = _crash([host], CRASHES_TO_QUARANTINE, _SYSTEM, _part('shared'), _BAD)
    host.on_crash(
        _after(_RUN_S, now), 'i-x', [_SYSTEM, _part('shared'), _part('rare')]
    )
    host.on_success(now, [_SYSTEM])
    assert host.quarantined == {_BAD}


def test_part_that_crashes_with_different_successors_is_blamed() -> None:
    """None of the parts after it has enough crashes of its own."""
    host = CrashSuspects()
    for number in range(CRASHES_TO_QUARANTINE):
        crash = _after(_RUN_S, 100 + number)
        host.on_crash(crash, f'i-{number}', [_BAD, _part(f'p{number}')])
    assert host.quarantined == {_BAD}


def test_new_leader_without_evidence_does_not_end_a_quarantine() -> None:
    """Seen on csft-sealdesk: own and joined evidence made three crashes."""
    first, second = CrashSuspects(), CrashSuspects()
    now = _crash([first], CRASHES_TO_QUARANTINE - 1, _BAD)
    _sync(now, [first, second])
    second.on_crash(_after(_RUN_S, now), 'i-x', [_BAD])
    assert second.quarantined == {_BAD}
    second.merge(now + 1, [])
    assert second.quarantined == {_BAD}


def test_many_new_suspects_do_not_displace_the_culprit() -> None:
    """The table is bounded, and the culprit is its oldest entry."""
    host = CrashSuspects()
    now = _crash([host], CRASHES_TO_QUARANTINE, _BAD)
    for number in range(2 * MAX_SUSPECTS):
        host.on_crash(_after(_RUN_S, now), 'i-x', [_part(f'p{number}')])
    assert host.quarantined == {_BAD}


def test_five_crashes_within_a_second_are_enough() -> None:
    """Times of csft-sealdesk, unframed-crashes of f1a71e0, seed 3."""
    host = CrashSuspects()
    for number, at in enumerate((5.296, 5.529, 5.556, 6.085, 6.159)):
        host.on_crash(_after(_RUN_S, at), f'i-{number}', [_SYSTEM, _BAD])
        host.on_success(at + 0.01, [_SYSTEM])
    assert host.quarantined == {_BAD}


def test_tries_one_after_the_other_count_each() -> None:
    """Seen on csft-sealdesk: four endpoints ended within 0.4 s."""
    host = CrashSuspects()
    at: float = 100
    for number in range(CRASHES_TO_QUARANTINE):
        host.on_crash(_after(FAULT_SPREAD_S / 2, at), f'i-{number}', [_BAD])
        at += FAULT_SPREAD_S * 3 / 5
    assert host.quarantined == {_BAD}


def test_runs_survive_the_exchange_of_reports() -> None:
    """Guards against ends that look like one fault on the other hosts."""
    hosts = [CrashSuspects() for _ in range(3)]
    for number, host in enumerate(hosts):
        crash = _after(FAULT_SPREAD_S / 2, 100 + number * FAULT_SPREAD_S * 0.6)
        host.on_crash(crash, f'i-{number}', [_BAD])
    _sync(101, hosts)
    _sync(102, hosts)
    assert all(host.quarantined == {_BAD} for host in hosts)


def test_request_that_keeps_crashing_endpoints_is_quarantined() -> None:
    """Its parts are not: nothing else with them has crashed one."""
    hosts = [CrashSuspects() for _ in range(3)]
    guilty = _request('guilty')
    now = _crash(hosts, CRASHES_TO_QUARANTINE, _part('own'), guilty)
    _sync(now, hosts)
    _sync(now, hosts)
    assert all(host.quarantined == {guilty} for host in hosts)


def test_part_is_blamed_beside_a_request_that_was_tried_again() -> None:
    """A caller that tries again must not hide the part from other callers."""
    host = CrashSuspects()
    first, second = _request('first'), _request('second')
    now = _crash([host], CRASHES_TO_QUARANTINE, _BAD, first)
    _crash([host], 1, _BAD, second, start=now)
    assert host.quarantined == {first, _BAD}


def test_request_that_rode_along_each_time_is_released() -> None:
    """Both of them had the same crashes; only one goes on."""
    host = CrashSuspects()
    guilty, beside = _request('guilty'), _request('beside')
    for number in range(CRASHES_TO_QUARANTINE):
        name, at = f'i-{number}', 100 + number
        host.on_crash(_after(2 * _RUN_S, at), name, [beside])
        host.on_crash(_after(_RUN_S, at), name, [guilty])
    assert host.quarantined == {guilty}


def test_order_that_runs_once_is_never_quarantined() -> None:
    """Guards against blame for what is only sent to one endpoint."""
    host = CrashSuspects()
    for number in range(4 * CRASHES_TO_QUARANTINE):
        order = _request(f'order-{number}')
        crash = _after(2 * _RUN_S, 100 + number)
        host.on_crash(crash, f'i-{number}', [order])
    assert not host.quarantined


def test_request_that_comes_rarely_is_quarantined() -> None:
    """Guards against evidence that ends before the next try comes."""
    host = CrashSuspects()
    guilty = _request('guilty')
    interval_s = (SUSPICION_TTL_S + REPEATED_TTL_S) / 4
    host.on_crash(_after(_RUN_S, 100), 'i-0', [guilty])
    host.on_crash(_after(_RUN_S, 101), 'i-1', [guilty])
    host.on_crash(_after(_RUN_S, 101 + interval_s), 'i-2', [guilty])
    assert host.quarantined == {guilty}
