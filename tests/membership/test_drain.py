"""Tests of the endpoints that may get new work."""

from __future__ import annotations

import pytest

from apricotcart.membership.drain import (
    DRAIN_BOUND_S,
    SEND_MARGIN_S,
    EndpointEligibility,
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
    """Guards against new work for an endpoint that may be draining.

    It may have started to drain right after the last sync, and the
    configuration copy may be used for longer than the bound on draining.
    """
    drain = EndpointEligibility()
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


class UnboundedDrain(EndpointEligibility):
    """Naive variant that uses its last list without a time limit."""

    def may_dispatch(self, now: float, endpoint: str) -> bool:
        """Ignore the time since the last sync."""
        return endpoint in self._not_draining


@pytest.mark.parametrize(
    ('drain', 'late'),
    [(EndpointEligibility(), False), (UnboundedDrain(), True)],
)
def test_may_dispatch_when_cut_off(
    drain: EndpointEligibility, late: bool
) -> None:
    """Guards against new work 3 s after an endpoint began to drain.

    The endpoint began to drain right after the host lost its connection.
    """
    drain.update([_endpoint('e1', leaving=False)], 0)
    ticks = [tick / 20 for tick in range(200)]
    dispatch_times = [now for now in ticks if drain.may_dispatch(now, 'e1')]
    assert (max(dispatch_times) + SEND_MARGIN_S > DRAIN_BOUND_S) == late
