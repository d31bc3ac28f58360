"""Guards against calls of two hosts that both consider themselves leader."""

from __future__ import annotations

from apricotcart.coordinator.authority import DutyAuthority

_TAKEOVER_DELAY_S = 3.0
_MAX_CALL_S = 1.0


def _authority(token: int = 2, now: float = 10) -> DutyAuthority:
    authority = DutyAuthority(_TAKEOVER_DELAY_S)
    authority.accept_token(now, 1, token)
    return authority


def test_new_holder_waits_before_its_first_call() -> None:
    authority = _authority()
    assert not authority.may_send(12.9, 100, _MAX_CALL_S)
    assert authority.may_send(13.1, 100, _MAX_CALL_S)


def test_first_holder_does_not_wait() -> None:
    assert _authority(token=1).may_send(10, 100, _MAX_CALL_S)


def test_call_must_end_within_the_lease() -> None:
    authority = _authority()
    assert not authority.may_send(20, 20.9, _MAX_CALL_S)
    assert authority.may_send(20, 21.2, _MAX_CALL_S)


def test_lost_lease_revokes_the_token() -> None:
    """A suspended host resumes after the end of its lease."""
    authority = _authority()
    assert not authority.needs_token(50, 22, 1)
    assert authority.token == 0
    assert not authority.may_send(50, 60, _MAX_CALL_S)
    assert authority.needs_token(51, 60, 2)


def test_new_term_needs_a_new_token() -> None:
    authority = _authority()
    assert not authority.needs_token(11, 100, 1)
    assert authority.needs_token(11, 100, 2)


def test_refused_token_is_discarded() -> None:
    authority = _authority()
    authority.revoke_token()
    assert not authority.may_send(20, 100, _MAX_CALL_S)
    assert authority.needs_token(20, 100, 1)
