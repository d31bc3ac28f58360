"""Guards against outcomes that are counted in the wrong order."""

from __future__ import annotations

from apricotcart.gateway.reachability.attempts import Attempts


def test_later_success_refutes_a_connection_that_began_before() -> None:
    """A connection of a request takes 1.2 s to fail, a probe less."""
    attempts = Attempts()
    attempts.on_connected('a', 100.3)
    attempts.on_failed('a', 100, 101.2)
    assert not attempts.failing
    attempts.on_failed('a', 101, 102.2)
    assert attempts.failing == {'a'}
    attempts.on_connected('a', 103)
    assert not attempts.failing


def test_endpoint_fails_since_its_first_failure() -> None:
    attempts = Attempts()
    attempts.on_failed('a', 100, 101)
    attempts.on_failed('b', 99, 101.5)
    attempts.on_failed('b', 102, 103)
    assert attempts.failing_since == 99
    assert attempts.tried == 2


def test_old_and_unlisted_attempts_do_not_count() -> None:
    attempts = Attempts()
    attempts.on_failed('a', 100, 100)
    attempts.on_failed('b', 103, 103)
    attempts.on_failed('c', 103, 103)
    attempts.retain(frozenset('ab'), 105)
    assert attempts.failing == {'b'}
    assert attempts.tried == 1
