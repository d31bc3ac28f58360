"""Cost of scheduling decisions: ``python -m policy.costs``."""

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
from apricotcart.scheduling.shares import divide

ENDPOINT_COUNTS = (10, 100, 1000, 3400)
CUSTOMER_COUNTS = (10, 100, 1000, 2300)
QUEUE_COUNTS = (10, 100, 1000, 10000)
HOST_COUNTS = (6, 20, 100, 340)
REQUESTS = 3000
SLOTS = 16
# A host uses at most this many endpoints of a large pool.
SUBSET = 64
MICRO = 1e6
TITLE_WIDTH = 38


def build(endpoints: int, customers: int, max_queue: int = 20000) -> Scheduler:
    """Build a scheduler with six tiers and shares."""
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
    scheduler.set_share(0, dict.fromkeys(names[:SUBSET], SLOTS))
    return scheduler


def request(number: int, customers: int) -> QueuedRequest:
    """Build one request; classes and customers take turns."""
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
    """Give the time for one request through all its events.

    The slots are filled and ``queued`` further requests wait. Then each new
    request comes with the end of a running one.
    """
    scheduler = build(endpoints, customers)
    running: list[str] = []
    # Lasting less than the bound of the wait keeps expiry out of the figure.
    now: float = 0
    full = min(endpoints, SUBSET) * SLOTS
    for number in range(full + queued):
        scheduler.submit(now, request(number, customers))
    running.extend(sent(scheduler, now))
    requests = [
        request(full + queued + number, customers) for number in range(REQUESTS)
    ]
    started = time.process_time()
    for req in requests:
        now += 1e-4
        scheduler.submit(now, req)
        running.extend(sent(scheduler, now))
        ending = running.pop(0)
        scheduler.on_first_byte(now, ending)
        for _ in range(10):
            scheduler.on_tokens(now, ending, 20)
        scheduler.on_finish(now, ending, 'ok')
        running.extend(sent(scheduler, now))
    return (time.process_time() - started) / REQUESTS * MICRO


def sent(scheduler: Scheduler, now: float) -> list[str]:
    """Run a tick and give the dispatched requests."""
    return [
        made.request_id
        for made in scheduler.tick(now)
        if isinstance(made, Dispatch)
    ]


def divide_cost_us(endpoints: int, hosts: int) -> float:
    """Give the time of a division when all slots are occupied."""
    records = [
        Endpoint(name=f'e{number}', pool='p', slots=SLOTS)
        for number in range(endpoints)
    ]
    tiers = [TierDemand(pool='p', tier=tier, queued=20) for tier in range(6)]
    demands = {f'h{number}': Demand(tiers=tiers) for number in range(hosts)}
    known: dict[str, Subsets] = {}
    shares = divide(demands, records, known)
    demands = {
        host: Demand(tiers=tiers, running=share)
        for host, share in shares.items()
    }
    started = time.process_time()
    for _ in range(3):
        divide(demands, records, known)
    return (time.process_time() - started) / 3 * MICRO


def share_cost_us(endpoints: int) -> float:
    """Give the time to apply a share and to measure the demand."""
    scheduler = build(endpoints, 10)
    names = [f'e{number}' for number in range(endpoints)][:SUBSET]
    started = time.process_time()
    for number in range(20):
        scheduler.set_share(number, dict.fromkeys(names, 3 + number % 2))
        scheduler.demand()
    return (time.process_time() - started) / 20 * MICRO


def bytes_of(make: Callable[[], object]) -> int:
    """Give the memory that an object takes."""
    tracemalloc.start()
    kept = [make()]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return size


def queued_bytes(count: int) -> int:
    """Give the memory of a scheduler with queued requests."""

    def make() -> Scheduler:
        scheduler = build(10, 10)
        for number in range(count):
            scheduler.submit(0, request(number, 10))
        return scheduler

    return bytes_of(make)


def customer_bytes(count: int) -> int:
    """Give the memory of a scheduler that served each customer."""

    def make() -> Scheduler:
        scheduler = build(10, count)
        for number in range(count):
            scheduler.submit(0, request(number, count))
            for name in sent(scheduler, 0):
                scheduler.on_finish(0, name, 'ok')
        scheduler.tick(1000)
        return scheduler

    return bytes_of(make)


def endpoint_bytes(count: int) -> int:
    """Give the memory of a scheduler with load reports."""

    def make() -> Scheduler:
        scheduler = build(count, 10)
        for number in range(count):
            report = LoadReport(slots_used=3, measured_at=1)
            scheduler.on_load_report(1, f'e{number}', report)
        return scheduler

    return bytes_of(make)


def write(title: str, counts: tuple[int, ...], figures: list[float]) -> None:
    """Print the figures at each count and the slope from first to last."""
    slope = (figures[-1] - figures[0]) / (counts[-1] - counts[0])
    cells = [title.ljust(TITLE_WIDTH)]
    for count, figure in zip(counts, figures, strict=True):
        cells.append(f'{count}: {figure:.0f} ')
    cells.append(f'slope {slope:.3f}\n')
    sys.stdout.write(' '.join(cells))


def main() -> None:
    """Print all slopes."""
    write(
        'us/request by endpoints',
        ENDPOINT_COUNTS,
        [request_cost_us(count, 10, 10) for count in ENDPOINT_COUNTS],
    )
    write(
        'us/request by customers',
        CUSTOMER_COUNTS,
        [request_cost_us(100, count, 5000) for count in CUSTOMER_COUNTS],
    )
    write(
        'us/request by queued requests',
        QUEUE_COUNTS,
        [request_cost_us(100, 10, count) for count in QUEUE_COUNTS],
    )
    write(
        'us/share and demand by endpoints',
        ENDPOINT_COUNTS,
        [share_cost_us(count) for count in ENDPOINT_COUNTS],
    )
    write(
        'us/division by endpoints, 100 hosts',
        ENDPOINT_COUNTS,
        [divide_cost_us(count, 100) for count in ENDPOINT_COUNTS],
    )
    write(
        'us/division by hosts, 3,400 endpoints',
        HOST_COUNTS,
        [divide_cost_us(3400, count) for count in HOST_COUNTS],
    )
    write(
        'bytes by queued requests',
        QUEUE_COUNTS,
        [queued_bytes(count) for count in QUEUE_COUNTS],
    )
    write(
        'bytes by customers',
        CUSTOMER_COUNTS,
        [customer_bytes(count) for count in CUSTOMER_COUNTS],
    )
    write(
        'bytes by endpoints',
        ENDPOINT_COUNTS,
        [endpoint_bytes(count) for count in ENDPOINT_COUNTS],
    )


if __name__ == '__main__':
    main()
