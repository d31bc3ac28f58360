"""Measures of one run."""

from __future__ import annotations

import statistics
from collections import defaultdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from apricotcart.endpoints.records import Endpoint
    from policy.deployment import Arrival
    from policy.engines import Job

MIN_SAMPLES = 10

_Key = tuple[str, str]
_Pair = tuple[int, int]
Counts = dict[_Key, _Pair]


class Record:
    """What happened to one request."""

    def __init__(self, arrival: Arrival) -> None:
        """Start before the arrival."""
        self.arrival = arrival
        self.req = arrival.req
        self.attempts = 0
        self.kept: float = 0
        self.started_at: float = 0
        self.first_byte_at: float = 0
        self.ended_at: float = 0
        self.outcome = ''
        self.hits: set[str] = set()
        self.cheap_tokens: float = 0

    def deadline(self) -> float:
        """Give the time at which the caller gives up."""
        return self.arrival.req.deadline_at

    def start(self, now: float) -> None:
        """Note the first start on an engine."""
        self.started_at = self.started_at or now

    def first_byte(self, now: float) -> None:
        """Note the first byte at the caller."""
        self.first_byte_at = self.first_byte_at or now

    def end(self, now: float, outcome: str) -> None:
        """Note the end."""
        self.ended_at = now
        self.outcome = outcome

    def hit(self, cause: str) -> None:
        """Note a crash of an endpoint under the request."""
        self.hits.add(cause)

    def on_endpoint(self, endpoint: Endpoint, job: Job) -> None:
        """Count the tokens that an endpoint made."""
        if endpoint.cheap:
            self.cheap_tokens += job.produced - self.kept

    def wait_s(self) -> float:
        """Give the time until the engine started or the request ended."""
        return (self.started_at or self.ended_at) - self.arrival.at

    def attained(self) -> bool:
        """Tell whether the answer met the targets of its class."""
        target = self.arrival.traffic.service_class
        first_s = self.first_byte_at - self.arrival.at
        total_s = self.ended_at - self.arrival.at
        if self.outcome != 'answered':
            return False
        return first_s <= target.first_token_s and total_s <= target.total_s


def measure(simulation: Any) -> tuple[dict[str, float], Counts]:
    """Give all measures of a finished run, ratios in percent."""
    records = [
        entry
        for entry in simulation.records.values()
        if not entry.arrival.poison
    ]
    answered = [entry for entry in records if entry.outcome == 'answered']
    tokens = sum(engine.tokens for engine in simulation.engines.values())
    useful = sum(entry.arrival.length for entry in answered)
    figures: dict[str, float] = {}
    for traffic in simulation.deployment.traffic:
        own = [entry for entry in records if entry.arrival.traffic is traffic]
        own = _without_flood(simulation, own)
        figures[f'attained {traffic.name} %'] = _percent(own)
    lowest = max(simulation.deployment.classes, key=lambda item: item.tier)
    goodput = sum(entry.arrival.length for entry in records if entry.attained())
    figures['goodput tokens/s'] = goodput / simulation.deployment.duration_s
    figures['wasted work %'] = 100 * (1 - useful / tokens)
    counts = customer_counts(simulation, records)
    figures['worst customer gap points'] = worst_gap([counts])
    cheap = sum(entry.cheap_tokens for entry in records)
    figures['cheap work %'] = 100 * cheap / tokens
    figures['harmed by reclaim'] = sum(
        'reclaim' in entry.hits and not entry.attained() for entry in records
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
    return 100 * sum(entry.attained() for entry in records) / len(records)


def _without_flood(simulation: Any, records: list[Record]) -> list[Record]:
    """Leave out the requests of the customer that floods, as it floods."""
    faults = simulation.deployment.faults
    return [
        entry
        for entry in records
        if entry.arrival.req.customer != faults['flood_customer']
        or entry.arrival.req.class_name != faults['flood_class']
    ]


def customer_counts(simulation: Any, records: list[Record]) -> Counts:
    """Count attained and all requests by class and customer."""
    counts: Counts = {}
    for entry in _without_flood(simulation, records):
        key = (entry.arrival.req.class_name, entry.arrival.req.customer)
        attained, total = counts.get(key, (0, 0))
        counts[key] = (attained + entry.attained(), total + 1)
    return counts


def worst_gap(runs: list[Counts]) -> float:
    """Give the widest gap of a customer to the median of its class."""
    totals: dict[_Key, list[_Pair]] = defaultdict(list)
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
