"""Simulated engines: continuous batching, prefix cache and crashes."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from apricotcart.endpoints.records import LoadReport

if TYPE_CHECKING:
    from apricotcart.endpoints.records import Endpoint
    from policy.deployment import Arrival

TOKEN_S = 0.02
# Each further request in the batch adds this ratio to the token interval.
BATCH_SLOWDOWN = 0.05
SLOW_FACTOR = 2.5
PREFILL_TOKENS_PER_S = 4000.0
CACHED_PREFIXES = 12
# Ratio of the prompt tokens that a cached prefix covers.
CACHED_PROMPT_RATIO = 0.7
POISON_DELAY_S = 0.3


class Job:
    """One attempt of one request on one engine."""

    def __init__(
        self,
        arrival: Arrival,
        host: int,
        dispatched_at: float,
        resumed_tokens: float,
    ) -> None:
        """Start with the tokens that are resumed from earlier attempts."""
        self.arrival = arrival
        self.host = host
        self.dispatched_at = dispatched_at
        self.produced = resumed_tokens
        self.reported = int(resumed_tokens)
        self.prefill_left_s: float = 0
        self.ran_s: float = 0
        self.endpoint = ''


class Engine:
    """Engine of one endpoint."""

    def __init__(self, endpoint: Endpoint, *, slow: bool) -> None:
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
        """Add a job to the engine's own queue, in order of priority."""
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
        """Return the load report."""
        return LoadReport(
            slots_used=len(self.running),
            queue=len(self.waiting),
            measured_at=measured_at,
        )

    def step(self, now: float, step_s: float) -> list[Job]:
        """Run one step and return the jobs that started to run."""
        started: list[Job] = []
        while self.waiting and len(self.running) < self.endpoint.slots:
            job = self.waiting.pop(0)
            job.prefill_left_s = self._prefill_s(job)
            self.running.append(job)
            started.append(job)
        self.longest_queue = max(self.longest_queue, len(self.waiting))
        token_interval_s = self.token_s * (
            1 + BATCH_SLOWDOWN * (len(self.running) - 1)
        )
        for running in self.running:
            self._advance(running, step_s, token_interval_s)
        return started

    def is_poisoned(self) -> bool:
        """Return whether a crashing request has run long enough to crash it."""
        return any(
            job.arrival.is_poison and job.ran_s > POISON_DELAY_S
            for job in self.running
        )

    def crash(self, until: float) -> list[Job]:
        """Drop the cache and all jobs, and return the jobs."""
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
            tokens -= CACHED_PROMPT_RATIO * req.prompt_tokens
        self._cache[key] = None
        self._cache.move_to_end(key)
        if len(self._cache) > CACHED_PREFIXES:
            self._cache.popitem(last=False)
        return tokens / PREFILL_TOKENS_PER_S

    def _advance(
        self, job: Job, step_s: float, token_interval_s: float
    ) -> None:
        job.ran_s += step_s
        prefill_s = min(step_s, job.prefill_left_s)
        job.prefill_left_s -= prefill_s
        tokens = min(
            (step_s - prefill_s) / token_interval_s,
            job.arrival.answer_tokens - job.produced,
        )
        job.produced += tokens
        self.tokens += tokens


def _priority(job: Job) -> tuple[int, float]:
    return job.arrival.traffic.service_class.tier, job.dispatched_at
