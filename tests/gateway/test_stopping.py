"""Guards against requests that a shutdown accepts and then cuts off."""

from __future__ import annotations

from apricotcart.gateway.active_requests import ActiveRequests, Phase


def test_phases_refuse_streams_first_then_everything() -> None:
    """Guards against accepting a stream that cannot end before the kill.

    Seen on sailom-fleet, mix --seed 259758087821: a stream accepted 3.97 s
    after SIGTERM was cut off 4 s later.
    """
    active_requests = ActiveRequests()
    assert not active_requests.refuses(is_stream=True)
    active_requests.phase = Phase.LEAVING
    assert active_requests.closes_connections
    assert not active_requests.refuses(is_stream=True)
    active_requests.phase = Phase.CLOSING
    assert active_requests.refuses(is_stream=True)
    assert not active_requests.refuses(is_stream=False)
    active_requests.phase = Phase.FINISHING
    assert active_requests.refuses(is_stream=False)


def test_wait_idle_ends_with_the_last_request() -> None:
    active_requests = ActiveRequests()
    active_requests.enter()
    assert not active_requests.wait_idle(0.05)
    active_requests.leave()
    assert active_requests.wait_idle(0)
