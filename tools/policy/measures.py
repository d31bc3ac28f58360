"""Figures of a simulation run."""

from __future__ import annotations

import statistics
from collections import defaultdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from apricotcart.endpoints.records import Endpoint
    from policy.deployment import Arrival
    from policy.engines import Job

MIN_SAMPLES = 10

_ClassCustomer = tuple[str, str]
_AttainedTotal = tuple[int, int]
Counts = dict[_ClassCustomer, _AttainedTotal]


class Record:
    """Times, attempts and outcome of one request."""

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.req = arrival.req
        self.attempts = 0
        self.resumed_tokens: float = 0
        self.started_at: float = 0
        self.first_byte_at: float = 0
        self.ended_at: float = 0
        self.outcome = ''
        self.crash_causes: set[str] = set()
        self.cheap_tokens: float = 0

    def deadline(self) -> float:
        """Return the time at which the caller cancels the request."""
        return self.arrival.req.deadline_at

    def start(self, now: float) -> None:
        """Record the time of the first start on an engine."""
        self.started_at = self.started_at or now

    def first_byte(self, now: float) -> None:
        """Record the time of the first byte at the caller."""
        self.first_byte_at = self.first_byte_at or now

    def end(self, now: float, outcome: str) -> None:
        """Record the end time and the outcome."""
        self.ended_at = now
        self.outcome = outcome

    def add_crash(self, cause: str) -> None:
        """Record the cause of an endpoint crash that failed an attempt."""
        self.crash_causes.add(cause)

    def add_cheap_tokens(self, endpoint: Endpoint, job: Job) -> None:
        """Count the tokens of an attempt if its endpoint is cheap."""
        if endpoint.cheap:
            self.cheap_tokens += job.produced - self.resumed_tokens

    def wait_s(self) -> float:
        """Return the time until the engine started or the request ended."""
        return (self.started_at or self.ended_at) - self.arrival.arrived_at

    def met_targets(self) -> bool:
        """Return whether the answer met the targets of its class."""
        target = self.arrival.traffic.service_class
        first_s = self.first_byte_at - self.arrival.arrived_at
        total_s = self.ended_at - self.arrival.arrived_at
        if self.outcome != 'answered':
            return False
        return first_s <= target.first_token_s and total_s <= target.total_s


def measure(simulation: Any) -> tuple[dict[str, float], Counts]:
    """Return all figures of a finished run, ratios in percent."""
    records = [
        entry
        for entry in simulation.records.values()
        if not entry.arrival.is_poison
    ]
    answered = [entry for entry in records if entry.outcome == 'answered']
    tokens = sum(engine.tokens for engine in simulation.engines.values())
    useful = sum(entry.arrival.answer_tokens for entry in answered)
    figures: dict[str, float] = {}
    for traffic in simulation.deployment.traffic:
        own = [entry for entry in records if entry.arrival.traffic is traffic]
        own = _without_flood(simulation, own)
        figures[f'attained {traffic.name} %'] = _percent(own)
    lowest = max(simulation.deployment.classes, key=lambda item: item.tier)
    goodput = sum(
        entry.arrival.answer_tokens for entry in records if entry.met_targets()
    )
    figures['goodput tokens/s'] = goodput / simulation.deployment.duration_s
    figures['wasted work %'] = 100 * (1 - useful / tokens)
    counts = customer_counts(simulation, records)
    figures['worst customer gap points'] = worst_gap([counts])
    cheap = sum(entry.cheap_tokens for entry in records)
    figures['cheap work %'] = 100 * cheap / tokens
    figures['harmed by reclaim'] = sum(
        'reclaim' in entry.crash_causes and not entry.met_targets()
        for entry in records
    )
    figures['longest wait lowest s'] = max(
        entry.wait_s()
        for entry in records
        if entry.arrival.req.class_name == lowest.name
    )
    figures['longest engine queue'] = max(
        engine.longest_queue for engine in simulation.engines.values()
    )
    figures['crashes by poison'] = simulation.crash_counts.get('poison', 0)
    figures['quarantined innocents'] = sum(
        entry.outcome == 'quarantined' for entry in records
    )
    return figures, counts


def _percent(records: list[Record]) -> float:
    if not records:
        return 100
    return 100 * sum(entry.met_targets() for entry in records) / len(records)


def _without_flood(simulation: Any, records: list[Record]) -> list[Record]:
    """Exclude the requests of the flooding customer in the flooded class."""
    faults = simulation.deployment.faults
    return [
        entry
        for entry in records
        if entry.arrival.req.customer != faults['flood_customer']
        or entry.arrival.req.class_name != faults['flood_class']
    ]


def customer_counts(simulation: Any, records: list[Record]) -> Counts:
    """Count requests that met their targets, and all, per customer."""
    counts: Counts = {}
    for entry in _without_flood(simulation, records):
        key = (entry.arrival.req.class_name, entry.arrival.req.customer)
        attained, total = counts.get(key, (0, 0))
        counts[key] = (attained + entry.met_targets(), total + 1)
    return counts


def worst_gap(runs: list[Counts]) -> float:
    """Return the largest gap in points of a customer to its class median."""
    totals: dict[_ClassCustomer, list[_AttainedTotal]] = defaultdict(list)
    for counts in runs:
        for key, pair in counts.items():
            totals[key].append(pair)
    ratios: dict[str, list[float]] = defaultdict(list)
    for name, pairs in totals.items():
        attained = sum(pair[0] for pair in pairs)
        total = sum(pair[1] for pair in pairs)
        if total >= MIN_SAMPLES:
            ratios[name[0]].append(100 * attained / total)
    return max(
        statistics.median(entries) - min(entries) for entries in ratios.values()
    )
