"""Measures the process time of decisions of a gateway with a long queue."""

from __future__ import annotations

import random
import sys
import time
from typing import Final

from apricotcart.desired.records import Engine
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.dispatching.endpoint_state import (
    LoadSummary,
    Requirements,
)
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.dispatching.queued_request import QueuedRequest
from apricotcart.gateway.dispatching.request_queue import RequestQueue

_SERVICE: Final = 'lm'
_SLOTS: Final = 16
_CUSTOMERS: Final = 24
_PASSES: Final = 200


def measure(endpoints: int = 90, queued: int = 1000) -> dict[str, float]:
    """Return microseconds of a pass without room, and of one that assigns.

    Parameters
    ----------
    endpoints : int
        Number of endpoints.
    queued : int
        Number of queued requests.
    """
    placement, queue = _full_queue(endpoints, queued)
    started = time.process_time()
    for _ in range(_PASSES):
        list(queue.decide(0))
    blocked_s = (time.process_time() - started) / _PASSES
    placement.update_remote_loads({}, 75)
    started = time.process_time()
    assigned = len(list(queue.decide(0)))
    assigning_s = time.process_time() - started
    return {
        'us/pass without room': 1e6 * blocked_s,
        'us/assignment': 1e6 * assigning_s / max(1, assigned),
        'assignments': assigned,
    }


def _full_queue(endpoints: int, queued: int) -> tuple[Placement, RequestQueue]:
    rng = random.Random(1)
    placement = Placement('a', 'g')
    placement.configure({_SERVICE: Engine(slots=_SLOTS, kv_tokens=10**9)})
    placement.update_instances(
        Instance(
            instance_id=f'i-{number}',
            service=_SERVICE,
            address='10.0.0.1:80',
            zone='a',
            slots=_SLOTS,
            is_ready=True,
        )
        for number in range(endpoints)
    )
    full = LoadSummary(_SLOTS, 10**5, 0)
    placement.update_remote_loads(
        {f'i-{number}': full for number in range(endpoints)}, 75
    )
    queue = RequestQueue(placement)
    for number in range(queued):
        level = rng.randrange(3)
        requirements = Requirements(
            service=_SERVICE,
            prompt_tokens=800,
            output_tokens=300,
            level=level,
            is_latency_critical=level > 1,
            customer=f'c{rng.randrange(_CUSTOMERS)}',
        )
        queue.add(
            QueuedRequest(
                request_id=f'r{number}',
                requirements=requirements,
                rank=(2 - level, number),
                refuse_at=9,
                excluded=set(),
            )
        )
    return placement, queue


def main() -> None:
    """Print the figures."""
    for name, figure in measure().items():
        sys.stdout.write(f'{name:32}{figure:10.0f}\n')


if __name__ == '__main__':
    main()
