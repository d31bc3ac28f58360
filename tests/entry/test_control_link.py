"""Tests of requests to the control hosts that fail."""

from __future__ import annotations

import pytest
from entry.fakes import LOST, FakeControl

from apricotcart.entry.control_link import ControlLink
from apricotcart.errors.tree import UnavailableError

OK = {'ok': True}
LONG_TIMEOUT_S = 30.0


def _not_leader(address: str | None = None) -> dict[str, object]:
    context = {} if address is None else {'address': address}
    return {'ok': False, 'code': 'not_leader', 'context': context}


def test_hint_is_followed_and_cached() -> None:
    """Guards against a search for the leader on each call."""
    hosts = {
        'c1': FakeControl(_not_leader('c3')),
        'c2': FakeControl(OK),
        'c3': FakeControl(OK),
    }
    link = ControlLink(dict(hosts))
    for _ in range(2):
        assert link.call({}, LONG_TIMEOUT_S) == OK
    counts = [len(host.messages) for host in hosts.values()]
    assert counts == [1, 0, 2]


@pytest.mark.parametrize('hint', [None, 'c1', 'elsewhere'])
def test_unusable_hint_leads_to_next_host(hint: str | None) -> None:
    """Guards against a link that keeps calling a host that does not lead."""
    first = FakeControl(_not_leader(hint))
    second = FakeControl(LOST)
    third = FakeControl(OK)
    link = ControlLink({'c1': first, 'c2': second, 'c3': third})
    assert link.call({}, LONG_TIMEOUT_S) == OK
    assert len(second.messages) == 1


def test_leader_changes_during_a_call() -> None:
    """Guards against calling a former leader until the deadline."""
    first = FakeControl(OK, {'ok': False, 'code': 'unavailable'})
    second = FakeControl(OK)
    link = ControlLink({'c1': first, 'c2': second})
    link.call({}, LONG_TIMEOUT_S)
    assert link.call({'n': 2}, LONG_TIMEOUT_S) == OK
    assert second.messages == [{'n': 2}]


def test_call_ends_at_its_deadline() -> None:
    """Guards against a call that never ends while there is no leader."""
    link = ControlLink(
        {
            'c1': FakeControl(_not_leader('c2')),
            'c2': FakeControl(_not_leader('c1')),
        }
    )
    with pytest.raises(UnavailableError):
        link.call({}, 0.2)


def test_hosts_that_hint_at_each_other() -> None:
    """Guards against two outdated hints that prevent calls to a third host."""
    third = FakeControl(OK)
    link = ControlLink(
        {
            'c1': FakeControl(_not_leader('c2')),
            'c2': FakeControl(_not_leader('c1')),
            'c3': third,
        }
    )
    assert link.call({}, LONG_TIMEOUT_S) == OK
    assert len(third.messages) == 1
