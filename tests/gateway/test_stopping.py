"""Guards against requests that a planned stop takes and then cuts off."""

from __future__ import annotations

from apricotcart.gateway.active_requests import Phase, RunningCalls


def test_phases_refuse_streams_first_then_everything() -> None:
    """A stream lasts longer than what is left of the stop.

    Seen on sailom-fleet, mix --seed 259758087821: a stream taken 3.97 s after
    SIGTERM was cut off 4 s later.
    """
    running = RunningCalls()
    assert not running.refuses(is_stream=True)
    running.phase = Phase.LEAVING
    assert running.closes_connections
    assert not running.refuses(is_stream=True)
    running.phase = Phase.CLOSING
    assert running.refuses(is_stream=True)
    assert not running.refuses(is_stream=False)
    running.phase = Phase.FINISHING
    assert running.refuses(is_stream=False)


def test_wait_idle_ends_with_the_last_request() -> None:
    running = RunningCalls()
    running.enter()
    assert not running.wait_idle(0.05)
    running.leave()
    assert running.wait_idle(0)
