"""Guards against beliefs that the evidence does not support."""

from __future__ import annotations

import pytest

from apricotcart.gateway.reachability.api import Reach
from apricotcart.gateway.reachability.monitor import ReachMonitor
from apricotcart.gateway.reachability.others import OthersView

_LISTED = tuple(f'10.0.0.{number}:80' for number in range(8))
_START_S = 100.0
_STEP_S = 0.05


class Scenario:
    """A monitor over simulated time, with a leader that may answer."""

    def __init__(self, listed: tuple[str, ...] = _LISTED) -> None:
        self.now = _START_S
        self.monitor = ReachMonitor()
        self.listed = listed
        self.monitor.replace_listed(listed)
        # What each view says; None if the leader does not answer.
        self.others_reach: bool | None = True
        self.witnesses: tuple[str, ...] = ()
        self._viewed_at: float = 0
        self.wait(1)

    @property
    def reach(self) -> Reach:
        return self.monitor.reach(self.now)

    def wait(self, duration_s: float) -> Reach:
        """Let time pass with a view every 0.3 s."""
        until = self.now + duration_s
        while self.now < until:
            self.now = round(self.now + _STEP_S, 4)
            if self.others_reach is not None and self.now >= self._viewed_at:
                self._viewed_at = self.now + 0.3
                self.monitor.on_view(
                    OthersView(self.others_reach, self.witnesses, self.now)
                )
            self.monitor.reach(self.now)
        return self.reach

    def fail(self, *endpoints: str) -> Reach:
        for endpoint in endpoints:
            self.monitor.on_connect_failed(endpoint, self.now)
        return self.reach

    def connect(self, *endpoints: str) -> Reach:
        for endpoint in endpoints:
            self.monitor.on_connected(endpoint, self.now)
        return self.reach

    def beliefs(self) -> list[Reach]:
        """Return all beliefs since the last call, also short ones."""
        changes = self.monitor.take_changes(self.now)
        return [change.after for change in changes]

    def cut_off(self) -> None:
        self.fail(*self.listed)
        assert self.wait(1.4) is Reach.CUT_OFF


@pytest.mark.parametrize(
    ('listed', 'failures', 'expected'),
    [
        (8, [0], Reach.REACHED),
        (8, [0, 0, 0, 0], Reach.REACHED),
        (8, [0, 1, 0, 1], Reach.REACHED),
        (8, [0, 1, 2], Reach.SUSPECT),
        (2, [0, 1], Reach.SUSPECT),
        (2, [0, 0], Reach.REACHED),
        (1, [0], Reach.REACHED),
        (1, [0, 0], Reach.SUSPECT),
    ],
)
def test_failures_at_several_endpoints_raise_the_suspicion(
    listed: int, failures: list[int], expected: Reach
) -> None:
    scenario = Scenario(_LISTED[:listed])
    assert scenario.fail(*(_LISTED[number] for number in failures)) is expected


def test_any_new_connection_ends_the_suspicion() -> None:
    """Guards against a crashed service that looks like a cut."""
    scenario = Scenario()
    assert scenario.fail(*_LISTED[:4]) is Reach.SUSPECT
    assert scenario.connect(_LISTED[7]) is Reach.REACHED
    scenario.wait(0.5)
    assert scenario.fail(*_LISTED[:2]) is Reach.REACHED
    assert scenario.wait(4) is Reach.REACHED


def test_unlisted_endpoints_do_not_count() -> None:
    scenario = Scenario()
    scenario.fail('10.9.9.1:80', '10.9.9.2:80', '10.9.9.3:80')
    assert scenario.reach is Reach.REACHED
    scenario.fail(*_LISTED[:3])
    scenario.monitor.replace_listed(_LISTED[3:])
    assert scenario.reach is Reach.REACHED


def test_old_failures_do_not_count() -> None:
    scenario = Scenario()
    scenario.fail(*_LISTED[:2])
    scenario.wait(4.5)
    assert scenario.fail(_LISTED[2]) is Reach.REACHED


def test_bytes_on_old_connections_do_not_refute_failures() -> None:
    """Guards against a cut that refuses only new connections."""
    scenario = Scenario()
    scenario.fail(*_LISTED)
    for _ in range(14):
        scenario.monitor.on_received(_LISTED[0], scenario.now)
        scenario.wait(0.1)
    assert scenario.reach is Reach.CUT_OFF


def test_failures_of_all_endpoints_are_a_cut_while_others_reach() -> None:
    scenario = Scenario()
    assert scenario.fail(*_LISTED) is Reach.SUSPECT
    assert scenario.wait(1) is Reach.SUSPECT
    assert scenario.wait(0.4) is Reach.CUT_OFF


def test_failures_where_others_connect_are_known_sooner() -> None:
    scenario = Scenario()
    scenario.witnesses = _LISTED[:2]
    scenario.fail(*_LISTED[:3])
    assert scenario.wait(0.9) is Reach.SUSPECT
    assert scenario.wait(0.15) is Reach.CUT_OFF


def test_too_few_endpoints_tried_are_no_cut() -> None:
    """Guards against three crashed endpoints of a hundred."""
    scenario = Scenario()
    scenario.fail(*_LISTED[:3])
    assert scenario.wait(3) is Reach.SUSPECT


def test_endpoints_that_are_down_everywhere_are_no_cut() -> None:
    scenario = Scenario()
    scenario.others_reach = False
    for _ in range(20):
        scenario.fail(*_LISTED)
        assert scenario.wait(0.3) is Reach.SUSPECT


def test_outage_is_no_cut_while_a_leader_is_elected() -> None:
    scenario = Scenario()
    scenario.others_reach = False
    scenario.fail(*_LISTED)
    scenario.wait(0.6)
    scenario.others_reach = None
    for _ in range(10):
        scenario.fail(*_LISTED)
        assert scenario.wait(0.3) is Reach.SUSPECT
    assert Reach.CUT_OFF not in scenario.beliefs()


def test_own_evidence_decides_without_a_leader() -> None:
    scenario = Scenario()
    scenario.others_reach = None
    scenario.wait(2)
    scenario.fail(*_LISTED)
    assert scenario.wait(1.2) is Reach.SUSPECT
    assert scenario.wait(0.2) is Reach.CUT_OFF


def test_others_that_reached_only_before_are_no_witnesses() -> None:
    """Guards against the last successes before all endpoints crashed."""
    scenario = Scenario()
    scenario.others_reach = None
    crashed_at = scenario.now
    scenario.fail(*_LISTED)
    for _ in range(6):
        scenario.wait(0.3)
        since_success_s = scenario.now - crashed_at
        scenario.monitor.on_view(
            OthersView(True, _LISTED[:4], scenario.now, since_success_s)
        )
        assert scenario.reach is Reach.SUSPECT


def test_first_gateway_after_an_outage_does_not_cut_others_off() -> None:
    scenario = Scenario()
    scenario.others_reach = False
    for _ in range(10):
        scenario.fail(*_LISTED)
        scenario.wait(0.3)
    scenario.others_reach = True
    assert scenario.wait(0.6) is Reach.SUSPECT
    assert scenario.connect(_LISTED[0]) is Reach.REACHED


def test_all_gateways_cut_off_ends_the_belief() -> None:
    scenario = Scenario()
    scenario.cut_off()
    scenario.others_reach = False
    scenario.fail(*_LISTED)
    assert scenario.wait(0.4) is Reach.SUSPECT


def test_return_takes_a_second_of_successes_at_several_endpoints() -> None:
    scenario = Scenario()
    scenario.cut_off()
    for number in range(4):
        assert scenario.connect(_LISTED[number]) is Reach.CUT_OFF
        scenario.wait(0.3)
    assert scenario.connect(_LISTED[4]) is Reach.REACHED


def test_failures_during_a_cut_are_forgotten_at_its_end() -> None:
    """Guards against probes, or another cut, because of them."""
    scenario = Scenario()
    scenario.cut_off()
    for number in range(5):
        scenario.connect(_LISTED[number % 3])
        scenario.wait(0.3)
    assert scenario.reach is Reach.REACHED
    assert not scenario.monitor.examine(
        scenario.now,
        lambda evidence, _: evidence.needs_probes(scenario.now),
    )


def test_one_endpoint_does_not_end_the_belief() -> None:
    scenario = Scenario()
    scenario.cut_off()
    for _ in range(10):
        assert scenario.connect(_LISTED[0]) is Reach.CUT_OFF
        scenario.wait(0.3)


def test_flapping_cut_does_not_change_the_belief() -> None:
    scenario = Scenario()
    scenario.cut_off()
    for number in range(40):
        if number % 3 == 2:
            scenario.fail(_LISTED[number % 8])
        else:
            scenario.connect(_LISTED[number % 8])
        assert scenario.wait(0.3) is Reach.CUT_OFF


def test_endpoint_that_others_miss_too_does_not_delay_the_return() -> None:
    """Guards against crashed endpoints that keep a host cut off."""
    scenario = Scenario()
    scenario.cut_off()
    scenario.witnesses = _LISTED[:4]
    scenario.wait(0.4)
    for number in range(5):
        scenario.connect(_LISTED[number % 4])
        scenario.fail(_LISTED[6])
        scenario.wait(0.3)
    assert scenario.reach is Reach.REACHED


def test_cut_that_spares_an_endpoint_is_known() -> None:
    """Guards against a cut from nearly all endpoints."""
    scenario = Scenario()
    scenario.witnesses = _LISTED[1:5]
    for _ in range(6):
        scenario.fail(*_LISTED[1:])
        scenario.connect(_LISTED[0])
        scenario.wait(0.3)
    assert scenario.reach is Reach.CUT_OFF


def test_most_endpoints_crashed_is_no_cut() -> None:
    """Guards against taking endpoints that nobody reaches for witnesses."""
    scenario = Scenario()
    scenario.witnesses = _LISTED[:1]
    for _ in range(20):
        scenario.fail(*_LISTED[1:])
        scenario.connect(_LISTED[0])
        assert scenario.wait(0.3) is Reach.REACHED


def test_failures_of_an_outage_are_no_cut_after_it() -> None:
    """Guards against old failures where others connect again."""
    scenario = Scenario()
    scenario.others_reach = False
    scenario.fail(*_LISTED)
    scenario.wait(2)
    scenario.others_reach = True
    scenario.witnesses = _LISTED[1:]
    scenario.connect(_LISTED[0])
    assert scenario.wait(1.2) is Reach.REACHED
    assert Reach.CUT_OFF not in scenario.beliefs()


def test_half_of_the_endpoints_is_no_cut() -> None:
    """Guards against passing on what half of the endpoints could run."""
    scenario = Scenario()
    scenario.witnesses = _LISTED
    for _ in range(20):
        scenario.fail(*_LISTED[:4])
        scenario.connect(*_LISTED[4:])
        assert scenario.wait(0.3) is Reach.REACHED


def test_evidence_before_a_standstill_does_not_count() -> None:
    """Guards against a process that was stopped while it was suspect."""
    scenario = Scenario()
    scenario.fail(*_LISTED)
    scenario.now += 1.5
    assert scenario.reach is Reach.REACHED
    assert scenario.wait(3) is Reach.REACHED


def test_connection_that_began_before_a_success_does_not_count() -> None:
    scenario = Scenario()
    started_at = scenario.now
    scenario.wait(0.3)
    scenario.connect(_LISTED[7])
    for endpoint in _LISTED[:4]:
        scenario.monitor.on_attempt_failed(endpoint, started_at, scenario.now)
    assert scenario.reach is Reach.REACHED


def test_changes_tell_what_decided_them() -> None:
    scenario = Scenario()
    scenario.cut_off()
    changes = scenario.monitor.take_changes(scenario.now)
    assert [change.after for change in changes] == [
        Reach.SUSPECT,
        Reach.CUT_OFF,
    ]
    last = changes[-1]
    assert last.failed == len(_LISTED)
    assert last.others_reach
    assert last.since_success_s == pytest.approx(2.3, abs=0.2)
    assert last.view_age_s == pytest.approx(0.15, abs=0.16)
    assert not scenario.monitor.take_changes(scenario.now)


def test_doubtful_host_does_not_report_reached_endpoints() -> None:
    """Guards against a host that still counts as reaching after a cut."""
    scenario = Scenario()
    scenario.connect(*_LISTED[:6])
    scenario.wait(0.2)
    reached_s, reached = scenario.monitor.reached(scenario.now)
    assert reached_s == pytest.approx(0.2)
    assert len(reached) == 4
    assert set(reached) <= set(_LISTED[:6])
    scenario.fail(_LISTED[0])
    assert scenario.monitor.reached(scenario.now) == (None, ())
    scenario.connect(_LISTED[1])
    scenario.wait(1.2)
    assert scenario.monitor.reached(scenario.now) == (None, ())
