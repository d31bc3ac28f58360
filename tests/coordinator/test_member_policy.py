"""Guards against lost voters that still count towards the quorum."""

from __future__ import annotations

from apricotcart.consensus.members import ChangeKind, Members
from apricotcart.coordinator.member_policy import MemberPolicy

_SIX = ['a.0', 'b.0', 'c.0', 'd.1', 'e.1', 'f.1']


def _next_removal(
    policy: MemberPolicy,
    now: float,
    voters: list[str],
    *unresponsive: str,
    joining: dict[str, str] | None = None,
) -> str | None:
    learners = list(joining or ())
    members = Members(voters=voters, learners=learners, joining=joining)
    answering = [
        node_id
        for node_id in members.all_members
        if node_id not in unresponsive
    ]
    change = policy.next_change(now, members, answering)
    if change is None:
        return None
    assert change.kind == ChangeKind.REMOVE
    return change.node_id


def test_unresponsive_voter_of_an_even_number_is_removed() -> None:
    policy = MemberPolicy()
    assert _next_removal(policy, 0, _SIX, 'b.0') is None
    assert _next_removal(policy, 3.9, _SIX, 'b.0') is None
    assert _next_removal(policy, 4, _SIX, 'b.0') == 'b.0'


def test_voter_that_answers_again_stays() -> None:
    policy = MemberPolicy()
    _next_removal(policy, 0, _SIX, 'b.0')
    _next_removal(policy, 2, _SIX)
    assert _next_removal(policy, 5, _SIX, 'b.0') is None


def test_odd_number_keeps_its_unresponsive_voter() -> None:
    policy = MemberPolicy()
    _next_removal(policy, 0, _SIX[:5], 'b.0')
    assert _next_removal(policy, 60, _SIX[:5], 'b.0') is None


def test_two_voters_are_never_reduced() -> None:
    policy = MemberPolicy()
    _next_removal(policy, 0, _SIX[:2], 'b.0')
    assert _next_removal(policy, 60, _SIX[:2], 'b.0') is None


def test_change_in_progress_comes_first() -> None:
    policy = MemberPolicy()
    _next_removal(policy, 0, _SIX, 'b.0', joining={'g.1': ''})
    assert _next_removal(policy, 9, _SIX, 'b.0', joining={'g.1': ''}) is None


def test_joining_host_that_is_lost_does_not_keep_a_lost_voter() -> None:
    policy = MemberPolicy()
    lost = ('b.0', 'g.1')
    _next_removal(policy, 0, _SIX, *lost, joining={'g.1': ''})
    removal = _next_removal(policy, 9, _SIX, *lost, joining={'g.1': ''})
    assert removal == 'b.0'


def test_longest_unresponsive_voter_is_removed_first() -> None:
    policy = MemberPolicy()
    _next_removal(policy, 0, _SIX, 'c.0')
    _next_removal(policy, 1, _SIX, 'b.0', 'c.0')
    assert _next_removal(policy, 9, _SIX, 'b.0', 'c.0') == 'c.0'
