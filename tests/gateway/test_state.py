"""Guards against requests that an outdated desired state decides."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from apricotcart.desired.records import CallerLimits, DesiredState
from apricotcart.gateway import state as state_module
from apricotcart.gateway.errors import NotReadyError
from apricotcart.gateway.state import StateCopy

# Time within which a change is in force, with an unstable core, in seconds.
_OUTER_BOUND_S = 7.0


class Clock:
    """Clock that only the test advances."""

    def __init__(self) -> None:
        self.now: float = 100

    def boot_clock_s(self) -> float:
        return self.now


def test_route_of_an_unconfirmed_copy_is_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Seen on sailom-fleet: a known route was served however old the copy."""
    clock = Clock()
    monkeypatch.setattr(state_module, 'boot_clock_s', clock.boot_clock_s)
    document_format: Any = SimpleNamespace()
    copy = StateCopy(document_format, _OUTER_BOUND_S)
    route = object()
    table: Any = SimpleNamespace(
        state=SimpleNamespace(version=1),
        route=lambda host, path: route,
    )
    copy._table = table  # noqa: SLF001
    copy.observe(1, clock.now)
    clock.now += _OUTER_BOUND_S - 0.1
    assert copy.route('h', '/a/') is route
    clock.now += 0.2
    with pytest.raises(NotReadyError):
        copy.route('h', '/a/')


def test_first_state_is_usable_for_the_requests_that_wait_for_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A state that is known but not confirmed would refuse them."""
    clock = Clock()
    monkeypatch.setattr(state_module, 'boot_clock_s', clock.boot_clock_s)
    state = DesiredState(
        version=1,
        routes=[],
        services=[],
        limits=CallerLimits(
            header_bytes=1,
            body_bytes=1,
            header_timeout_s=1,
            idle_timeout_s=1,
        ),
        customers=None,
    )
    document_format: Any = SimpleNamespace(decode=lambda document: state)
    copy = StateCopy(document_format, _OUTER_BOUND_S)
    assert not copy.is_usable
    copy.adopt(b'', clock.now)
    assert copy.is_usable
    assert copy.table().state is state
