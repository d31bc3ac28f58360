"""Failures of requests to the control hosts."""

from __future__ import annotations

import pytest
from entry.fakes import LOST, FakeControl

from apricotcart.entry.control_link import ControlLink
from apricotcart.errors.tree import UnavailableError

OK = {'ok': True}
PLENTY_S = 30.0


def _not_leader(address: str | None = None) -> dict[str, object]:
    context = {} if address is None else {'address': address}
    return {'ok': False, 'code': 'not_leader', 'context': context}


def test_hint_is_followed_and_kept() -> None:
    """Guards against a search for the leader in each call."""
    hosts = {
        'c1': FakeControl(_not_leader('c3')),
        'c2': FakeControl(OK),
        'c3': FakeControl(OK),
    }
    link = ControlLink(dict(hosts))
    for _ in range(2):
        assert link.call({}, PLENTY_S) == OK
    counts = [len(host.messages) for host in hosts.values()]
    assert counts == [1, 0, 2]


@pytest.mark.parametrize('hint', [None, 'c1', 'elsewhere'])
def test_useless_hint_leads_to_the_next(hint: str | None) -> None:
    """Guards against a link that stays at a host that does not lead."""
    first = FakeControl(_not_leader(hint))
    second = FakeControl(LOST)
    third = FakeControl(OK)
    link = ControlLink({'c1': first, 'c2': second, 'c3': third})
    assert link.call({}, PLENTY_S) == OK
    assert len(second.messages) == 1


def test_leader_changes_during_a_call() -> None:
    """Guards against an old leader that is asked until the deadline."""
    first = FakeControl(OK, {'ok': False, 'code': 'unavailable'})
    second = FakeControl(OK)
    link = ControlLink({'c1': first, 'c2': second})
    link.call({}, PLENTY_S)
    assert link.call({'n': 2}, PLENTY_S) == OK
    assert second.messages == [{'n': 2}]


def test_call_ends_at_its_deadline() -> None:
    """Guards against a call that never ends while no host leads."""
    link = ControlLink(
        {
            'c1': FakeControl(_not_leader('c2')),
            'c2': FakeControl(_not_leader('c1')),
        }
    )
    with pytest.raises(UnavailableError):
        link.call({}, 0.2)


def test_hosts_that_name_each_other() -> None:
    """Guards against two stale hints that keep a third host from a call."""
    third = FakeControl(OK)
    link = ControlLink(
        {
            'c1': FakeControl(_not_leader('c2')),
            'c2': FakeControl(_not_leader('c1')),
            'c3': third,
        }
    )
    assert link.call({}, PLENTY_S) == OK
    assert len(third.messages) == 1
