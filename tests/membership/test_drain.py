"""Tests of which endpoints may get new work."""

from __future__ import annotations

from apricotcart.membership.drain import (
    DRAIN_BOUND_S,
    SEND_MARGIN_S,
    EndpointDrain,
)
from apricotcart.state.records import Resource


def _endpoint(name: str, *, leaving: bool) -> Resource:
    return Resource(
        kind='endpoint',
        name=name,
        version=1,
        revision=1,
        spec={'leaving': leaving},
        status=None,
    )


def test_may_dispatch_after_missed_syncs() -> None:
    """Guards against new work for an endpoint that drains unnoticed.

    It may be draining since just after the last sync, and the copy as such
    may be used for longer than the bound on draining.
    """
    drain = EndpointDrain()
    assert not drain.may_dispatch(0, 'e1')
    endpoints = [
        _endpoint('e1', leaving=False),
        _endpoint('e2', leaving=True),
    ]
    drain.update(endpoints, 10)
    limit = 10 + DRAIN_BOUND_S - SEND_MARGIN_S
    assert drain.eligible(limit - 0.1) == {'e1'}
    assert drain.may_dispatch(limit - 0.1, 'e1')
    assert not drain.may_dispatch(limit - 0.1, 'e2')
    assert not drain.may_dispatch(limit, 'e1')
    drain.confirm(9)
    assert not drain.eligible(limit)
    drain.confirm(11)
    assert drain.eligible(limit) == {'e1'}
