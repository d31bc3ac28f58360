"""Planned stops of gateways whose callers go on until the process ends."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Final

import pytest

from soak import slow_ends
from soak.records import Outcome
from soak.world import World, running_world

pytestmark = pytest.mark.xdist_group('soak')
_CALLERS: Final = 24
_STOPS: Final = 2
# Requests for each stop whose connection may be closed before they are read. A
# gateway that stops accepting before it ends leaves only those that arrive
# while it closes its sockets.
_MAX_UNREAD: Final = _CALLERS // 4
# Callers that arrive faster than a gateway can refuse them.
_MANY_CALLERS: Final = 300
# They arrive this long after SIGTERM, before the gateway ends.
_MANY_ARRIVE_S: Final = 3.5


def _stop_in_turn(world: World, rng: random.Random) -> None:
    """Stop and start all gateways several times, overlapping."""
    for _ in range(_STOPS):
        stops = []
        for gateway in world.fleet.gateways:
            world.await_served(gateway.ip)
            time.sleep(rng.uniform(0, 0.4))
            stops.append((gateway, world.signal_stop(gateway)))
        for gateway, stop in stops:
            world.await_stop(gateway, stop)
            gateway.start()


@pytest.mark.parametrize('seed', [1])
def test_responses_are_whole_around_planned_stops(
    tmp_path: Path, seed: int
) -> None:
    """Guards against responses that are cut when a process ends.

    Also guards against a process that leaves while callers still connect.
    """
    rng = random.Random(seed)
    with running_world(tmp_path, gateways=2) as world:
        for gateway in world.fleet.gateways:
            world.add_callers(gateway.ip, _CALLERS, rng)
        _stop_in_turn(world, rng)
        world.finish_callers()
        assert not world.find_faults()
        unread = world.records.count(Outcome.NO_RESPONSE)
        assert unread <= _MAX_UNREAD * len(world.stops)


def test_stop_waits_for_last_chunk_of_streams(tmp_path: Path) -> None:
    """Guards against a request that counts as ended before its last chunk.

    The process then ends between the last event and the last chunk if the
    thread that writes it does not get the processor in time.
    """
    rng = random.Random(1)
    with running_world(tmp_path) as world:
        gateway = world.fleet.gateways[0]
        gateway.kill()
        gateway.launcher = (slow_ends.__file__,)
        gateway.start()
        world.add_callers(gateway.ip, _CALLERS, rng)
        world.await_served(gateway.ip)
        world.await_stop(gateway, world.signal_stop(gateway))
        world.finish_callers()
        assert not world.find_faults()


def test_stop_answers_requests_that_wait_for_a_thread(tmp_path: Path) -> None:
    """Guards against requests that end with the process, unread.

    With many callers, they wait in the accept queue and in the HTTP server
    for longer than a connection may take to be closed.
    """
    rng = random.Random(1)
    with running_world(tmp_path) as world:
        gateway = world.fleet.gateways[0]
        world.add_callers(gateway.ip, _CALLERS, rng)
        world.await_served(gateway.ip)
        stop = world.signal_stop(gateway)
        time.sleep(_MANY_ARRIVE_S)
        world.add_callers(gateway.ip, _MANY_CALLERS, rng)
        world.await_stop(gateway, stop)
        world.finish_callers()
        assert not world.find_faults()
