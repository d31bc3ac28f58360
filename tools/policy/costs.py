"""Measures the cost of scheduling decisions: ``python -m policy.costs``."""

from __future__ import annotations

import random
import sys
import time
import tracemalloc
from collections.abc import Callable

from apricotcart.endpoints.records import Endpoint, LoadReport
from apricotcart.endpoints.subsets import Subsets
from apricotcart.scheduling.config import SchedulerConfig
from apricotcart.scheduling.decisions import Demand, Dispatch, TierDemand
from apricotcart.scheduling.records import (
    Customer,
    QueuedRequest,
    ServiceClass,
)
from apricotcart.scheduling.scheduler import Scheduler
from apricotcart.scheduling.shares import divide_slots

ENDPOINT_COUNTS = (10, 100, 1000, 3400)
CUSTOMER_COUNTS = (10, 100, 1000, 2300)
QUEUE_COUNTS = (10, 100, 1000, 10000)
HOST_COUNTS = (6, 20, 100, 340)
REQUESTS = 3000
SLOTS = 16
# A host uses at most this many endpoints of a large pool.
SUBSET_SIZE = 64
US_PER_S = 1e6
TITLE_WIDTH = 38


def build_scheduler(
    endpoints: int, customers: int, max_queue: int = 20000
) -> Scheduler:
    """Build a scheduler with six tiers and a share of the slots."""
    scheduler = Scheduler.from_config(
        SchedulerConfig(max_queue=max_queue), random.Random(1)
    )
    names = [f'e{number}' for number in range(endpoints)]
    scheduler.configure(
        0,
        [
            ServiceClass(name=f'c{tier}', tier=tier, min_share=0.02)
            for tier in range(6)
        ],
        [Customer(name=f'u{number}') for number in range(customers)],
        [Endpoint(name=name, pool='p', slots=SLOTS) for name in names],
    )
    scheduler.set_slot_limits(0, dict.fromkeys(names[:SUBSET_SIZE], SLOTS))
    return scheduler


def build_request(number: int, customers: int) -> QueuedRequest:
    """Build one request; classes and customers alternate by number."""
    customer = number % customers
    tier = number % 6
    prefix = number % 50
    return QueuedRequest(
        request_id=f'r{number}',
        customer=f'u{customer}',
        class_name=f'c{tier}',
        pool='p',
        prompt_tokens=300,
        max_tokens=500,
        prefix_hash=f'x{prefix}',
    )


def request_cost_us(endpoints: int, customers: int, queued: int) -> float:
    """Return the CPU time per request, over all its events.

    All slots are filled and ``queued`` further requests wait. Then each new
    request is submitted as a running one finishes.
    """
    scheduler = build_scheduler(endpoints, customers)
    running: list[str] = []
    # The simulated time stays below the queue timeout, so that the figure
    # excludes the expiry of queued requests.
    now: float = 0
    total_slots = min(endpoints, SUBSET_SIZE) * SLOTS
    for number in range(total_slots + queued):
        scheduler.submit(now, build_request(number, customers))
    running.extend(dispatched(scheduler, now))
    requests = [
        build_request(total_slots + queued + number, customers)
        for number in range(REQUESTS)
    ]
    started = time.process_time()
    for req in requests:
        now += 1e-4
        scheduler.submit(now, req)
        running.extend(dispatched(scheduler, now))
        oldest = running.pop(0)
        scheduler.on_first_byte(now, oldest)
        for _ in range(10):
            scheduler.on_tokens(now, oldest, 20)
        scheduler.on_finish(now, oldest, 'ok')
        running.extend(dispatched(scheduler, now))
    return (time.process_time() - started) / REQUESTS * US_PER_S


def dispatched(scheduler: Scheduler, now: float) -> list[str]:
    """Run a tick and return the ids of the dispatched requests."""
    return [
        decision.request_id
        for decision in scheduler.tick(now)
        if isinstance(decision, Dispatch)
    ]


def divide_cost_us(endpoints: int, hosts: int) -> float:
    """Return the CPU time of dividing the slots when all are in use."""
    records = [
        Endpoint(name=f'e{number}', pool='p', slots=SLOTS)
        for number in range(endpoints)
    ]
    tiers = [TierDemand(pool='p', tier=tier, queued=20) for tier in range(6)]
    demands = {f'h{number}': Demand(tiers=tiers) for number in range(hosts)}
    subsets: dict[str, Subsets] = {}
    shares = divide_slots(demands, records, subsets)
    demands = {
        host: Demand(tiers=tiers, running=share)
        for host, share in shares.items()
    }
    started = time.process_time()
    for _ in range(3):
        divide_slots(demands, records, subsets)
    return (time.process_time() - started) / 3 * US_PER_S


def share_cost_us(endpoints: int) -> float:
    """Return the CPU time to apply a share and compute the demand."""
    scheduler = build_scheduler(endpoints, 10)
    names = [f'e{number}' for number in range(endpoints)][:SUBSET_SIZE]
    started = time.process_time()
    for number in range(20):
        scheduler.set_slot_limits(number, dict.fromkeys(names, 3 + number % 2))
        scheduler.demand()
    return (time.process_time() - started) / 20 * US_PER_S


def measure_bytes(create: Callable[[], object]) -> int:
    """Return the memory in bytes that an object allocates."""
    tracemalloc.start()
    kept = [create()]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return size


def queued_bytes(count: int) -> int:
    """Return the memory in bytes of a scheduler with queued requests."""

    def create() -> Scheduler:
        scheduler = build_scheduler(10, 10)
        for number in range(count):
            scheduler.submit(0, build_request(number, 10))
        return scheduler

    return measure_bytes(create)


def customer_bytes(count: int) -> int:
    """Return the bytes of a scheduler that has served each customer."""

    def create() -> Scheduler:
        scheduler = build_scheduler(10, count)
        for number in range(count):
            scheduler.submit(0, build_request(number, count))
            for name in dispatched(scheduler, 0):
                scheduler.on_finish(0, name, 'ok')
        scheduler.tick(1000)
        return scheduler

    return measure_bytes(create)


def endpoint_bytes(count: int) -> int:
    """Return the memory in bytes of a scheduler with load reports."""

    def create() -> Scheduler:
        scheduler = build_scheduler(count, 10)
        for number in range(count):
            report = LoadReport(slots_used=3, measured_at=1)
            scheduler.on_load_report(1, f'e{number}', report)
        return scheduler

    return measure_bytes(create)


def print_costs(
    title: str, counts: tuple[int, ...], figures: list[float]
) -> None:
    """Print the figure at each count and the slope from first to last."""
    slope = (figures[-1] - figures[0]) / (counts[-1] - counts[0])
    cells = [title.ljust(TITLE_WIDTH)]
    for count, figure in zip(counts, figures, strict=True):
        cells.append(f'{count}: {figure:.0f} ')
    cells.append(f'slope {slope:.3f}\n')
    sys.stdout.write(' '.join(cells))


def main() -> None:
    """Print the table of all costs."""
    print_costs(
        'us/request by endpoints',
        ENDPOINT_COUNTS,
        [request_cost_us(count, 10, 10) for count in ENDPOINT_COUNTS],
    )
    print_costs(
        'us/request by customers',
        CUSTOMER_COUNTS,
        [request_cost_us(100, count, 5000) for count in CUSTOMER_COUNTS],
    )
    print_costs(
        'us/request by queued requests',
        QUEUE_COUNTS,
        [request_cost_us(100, 10, count) for count in QUEUE_COUNTS],
    )
    print_costs(
        'us/share and demand by endpoints',
        ENDPOINT_COUNTS,
        [share_cost_us(count) for count in ENDPOINT_COUNTS],
    )
    print_costs(
        'us/division by endpoints, 100 hosts',
        ENDPOINT_COUNTS,
        [divide_cost_us(count, 100) for count in ENDPOINT_COUNTS],
    )
    print_costs(
        'us/division by hosts, 3,400 endpoints',
        HOST_COUNTS,
        [divide_cost_us(3400, count) for count in HOST_COUNTS],
    )
    print_costs(
        'bytes by queued requests',
        QUEUE_COUNTS,
        [queued_bytes(count) for count in QUEUE_COUNTS],
    )
    print_costs(
        'bytes by customers',
        CUSTOMER_COUNTS,
        [customer_bytes(count) for count in CUSTOMER_COUNTS],
    )
    print_costs(
        'bytes by endpoints',
        ENDPOINT_COUNTS,
        [endpoint_bytes(count) for count in ENDPOINT_COUNTS],
    )


if __name__ == '__main__':
    main()
