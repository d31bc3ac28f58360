"""Fake engines: continuous batching, prefix cache, faults."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from apricotcart.endpoints.records import LoadReport

if TYPE_CHECKING:
    from apricotcart.endpoints.records import Endpoint
    from policy.deployment import Arrival

TOKEN_S = 0.02
# Each further request in the batch slows all by this part.
BATCH_COST = 0.05
SLOW_FACTOR = 2.5
PREFILL_TOKENS_PER_S = 4000.0
CACHED_PREFIXES = 12
# Part of the prompt that a cached prefix covers.
PREFIX_PART = 0.7
POISON_DELAY_S = 0.3


class Job:
    """One attempt of one request on one engine."""

    def __init__(
        self, arrival: Arrival, host: int, start_at: float, done: float
    ) -> None:
        """Start with the tokens of earlier attempts that were kept."""
        self.arrival = arrival
        self.host = host
        self.start_at = start_at
        self.produced = done
        self.reported = int(done)
        self.prefill_left: float = 0
        self.ran_s: float = 0
        self.endpoint = ''


class Engine:
    """One endpoint."""

    def __init__(self, endpoint: Endpoint, *, slow: bool) -> None:
        """Start idle."""
        self.endpoint = endpoint
        factor = SLOW_FACTOR if slow else 1
        self.token_s = TOKEN_S * factor
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.down_until: float = 0
        self.tokens: float = 0
        self.longest_queue = 0
        self._cache: OrderedDict[str, None] = OrderedDict()

    def add(self, job: Job) -> None:
        """Take a job into the engine's own queue, by priority."""
        job.endpoint = self.endpoint.name
        self.waiting.append(job)
        self.waiting.sort(key=_priority)

    def remove(self, job: Job) -> None:
        """Cancel a job."""
        if job in self.running:
            self.running.remove(job)
        if job in self.waiting:
            self.waiting.remove(job)

    def report(self, measured_at: float) -> LoadReport:
        """Give the load."""
        return LoadReport(
            slots_used=len(self.running),
            queue=len(self.waiting),
            measured_at=measured_at,
        )

    def step(self, now: float, span_s: float) -> list[Job]:
        """Run for one step; give the jobs that started to run."""
        started: list[Job] = []
        while self.waiting and len(self.running) < self.endpoint.slots:
            job = self.waiting.pop(0)
            job.prefill_left = self._prefill_s(job)
            self.running.append(job)
            started.append(job)
        self.longest_queue = max(self.longest_queue, len(self.waiting))
        pace = self.token_s * (1 + BATCH_COST * (len(self.running) - 1))
        for running in self.running:
            self._advance(running, span_s, pace)
        return started

    def is_poisoned(self) -> bool:
        """Tell whether a crashing request runs long enough to crash it."""
        return any(
            job.arrival.poison and job.ran_s > POISON_DELAY_S
            for job in self.running
        )

    def crash(self, until: float) -> list[Job]:
        """Lose all jobs and the cache; give the jobs."""
        lost = self.running + self.waiting
        self.running = []
        self.waiting = []
        self.down_until = until
        self._cache.clear()
        return lost

    def _prefill_s(self, job: Job) -> float:
        req = job.arrival.req
        key = f'{req.customer}/{req.prefix_hash}'
        tokens = req.prompt_tokens + job.produced
        if key in self._cache:
            tokens -= PREFIX_PART * req.prompt_tokens
        self._cache[key] = None
        self._cache.move_to_end(key)
        if len(self._cache) > CACHED_PREFIXES:
            self._cache.popitem(last=False)
        return tokens / PREFILL_TOKENS_PER_S

    def _advance(self, job: Job, span_s: float, pace: float) -> None:
        job.ran_s += span_s
        used = min(span_s, job.prefill_left)
        job.prefill_left -= used
        tokens = min((span_s - used) / pace, job.arrival.length - job.produced)
        job.produced += tokens
        self.tokens += tokens


def _priority(job: Job) -> tuple[int, float]:
    return job.arrival.traffic.service_class.tier, job.start_at
