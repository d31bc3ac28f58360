"""Runs the hosts' schedulers and simulated engines on a simulated clock."""

from __future__ import annotations

import heapq
import random
from collections import deque
from typing import Any

from apricotcart.endpoints import outcomes
from apricotcart.endpoints.records import Endpoint, LoadReport
from apricotcart.retries.policy import FailedAttempt, RetryPolicy
from apricotcart.scheduling.config import SchedulerConfig
from apricotcart.scheduling.decisions import Decision, Dispatch
from apricotcart.scheduling.isolation import assign_isolation
from apricotcart.scheduling.scheduler import Scheduler
from apricotcart.scheduling.shares import divide_slots
from policy.baselines import FifoRoundRobin, LeastInFlight
from policy.deployment import Deployment
from policy.engines import Engine, Job
from policy.measures import Counts, Record, measure

STEP_S = 0.05
# Interval at which a failing endpoint closes all its connections.
FAILING_PERIOD_S = 2.0

POLICIES = ('apricotcart', 'fifo-round-robin', 'least-in-flight')


_TimedReports = tuple[float, dict[str, LoadReport]]


class Simulation:
    """One run of one policy on one deployment and seed."""

    def __init__(self, deployment: Deployment, policy: str, seed: int) -> None:
        """Build the hosts and engines and generate the requests."""
        self.deployment = deployment
        self.now: float = 0
        self.rng = random.Random(f'{deployment.name}-{seed}-faults')
        self.engines = {
            entry.name: Engine(entry, slow=entry.name in deployment.slow)
            for entry in deployment.endpoints
        }
        self.hosts = [
            self._build_scheduler(policy, number)
            for number in range(deployment.hosts)
        ]
        self.retries = [
            RetryPolicy.from_rng(random.Random(number), host.suspects)
            for number, host in enumerate(self.hosts)
        ]
        self.records = {
            entry.req.request_id: Record(entry)
            for entry in deployment.arrivals(seed)
        }
        self.jobs: dict[str, Job] = {}
        self.retry_queue: list[tuple[float, str, Any]] = []
        self.reports: deque[_TimedReports] = deque()
        self.failing = self._failing_endpoints()
        self.next_sync: float = 0
        self.leaving: set[str] = set()
        self.crash_counts: dict[str, int] = {}
        self.dispatches: list[tuple[float, str]] = []
        self._configure()

    def run(self) -> list[Record]:
        """Run until all requests have arrived and all deadlines have passed."""
        arrivals = deque(self.records.values())
        deadlines = deque(sorted(arrivals, key=Record.deadline))
        while arrivals or deadlines:
            self.now += STEP_S
            self._step_callers(arrivals, deadlines)
            self._inject_faults()
            self._step_engines()
            if self.now >= self.next_sync:
                self.next_sync += self.deployment.settings['sync_s']
                self._synchronize()
            for number, _ in enumerate(self.hosts):
                self._tick(number)
        return list(self.records.values())

    def _step_callers(
        self, arrivals: deque[Record], deadlines: deque[Record]
    ) -> None:
        while arrivals and arrivals[0].arrival.arrived_at <= self.now:
            self._submit_new(arrivals.popleft())
        while self.retry_queue and self.retry_queue[0][0] <= self.now:
            self._submit(heapq.heappop(self.retry_queue)[2])
        while deadlines and deadlines[0].deadline() <= self.now:
            self._expire(deadlines.popleft())

    def _build_scheduler(self, policy: str, number: int) -> Any:
        max_queue = int(self.deployment.settings['max_queue'])
        if policy == 'fifo-round-robin':
            return FifoRoundRobin(max_queue)
        if policy == 'least-in-flight':
            return LeastInFlight(max_queue)
        zones = self.deployment.zones
        cfg = SchedulerConfig(
            zone=zones[number % len(zones)],
            max_queue=max_queue,
            reclaim_notice_s=self.deployment.fault_numbers('reclaim_notice_s')[
                0
            ],
        )
        return Scheduler.from_config(cfg, random.Random(number))

    def _failing_endpoints(self) -> list[str]:
        names = [
            entry.name
            for entry in self.deployment.endpoints
            if entry.pool == self.deployment.endpoints[0].pool
        ]
        ratio = self.deployment.fault_numbers('failing')[2]
        return self.rng.sample(names, round(len(names) * ratio + 0.49))

    def _configure(self) -> None:
        endpoints = []
        for entry in self.deployment.endpoints:
            fields = entry.to_wire()
            fields['leaving'] = entry.name in self.leaving
            endpoints.append(Endpoint.from_wire(fields))
        for host in self.hosts:
            host.configure(
                self.now,
                self.deployment.classes,
                self.deployment.customers,
                endpoints,
            )
        self.configured = endpoints

    def _submit_new(self, record: Record) -> None:
        arrival = record.arrival
        self.retries[arrival.host].on_request(self.now)
        self._submit(arrival.req)

    def _submit(self, req: Any) -> None:
        record = self.records[req.request_id]
        if record.ended_at:
            return
        record.req = req
        number = record.arrival.host
        self.hosts[number].submit(self.now, req)
        self._tick(number)

    def _expire(self, record: Record) -> None:
        if record.ended_at:
            return
        name = record.arrival.req.request_id
        self.hosts[record.arrival.host].cancel(self.now, name)
        job = self.jobs.pop(name, None)
        if job is not None:
            self.engines[job.endpoint].remove(job)
        record.end(self.now, 'deadline')

    def _tick(self, number: int) -> None:
        decisions: list[Decision] = self.hosts[number].tick(self.now)
        for decision in decisions:
            record = self.records[decision.request_id]
            if isinstance(decision, Dispatch):
                self._start_attempt(record, decision.endpoint, number)
            else:
                record.end(self.now, 'shed')

    def _start_attempt(
        self, record: Record, endpoint: str, number: int
    ) -> None:
        record.attempts += 1
        self.dispatches.append((self.now, endpoint))
        engine = self.engines[endpoint]
        resumed_tokens = record.resumed_tokens
        job = Job(record.arrival, number, self.now, resumed_tokens)
        job.endpoint = endpoint
        self.jobs[record.arrival.req.request_id] = job
        if self.now < engine.down_until:
            self._fail_attempt(job, outcomes.UNREACHABLE)
        else:
            engine.add(job)

    def _step_engines(self) -> None:
        for engine in self.engines.values():
            for job in engine.step(self.now, STEP_S):
                self.records[job.arrival.req.request_id].start(self.now)
            for running in list(engine.running):
                self._progress(engine, running)
            if engine.is_poisoned():
                self._crash(engine, self.now + self._restart_s(), 'poison')

    def _progress(self, engine: Engine, job: Job) -> None:
        record = self.records[job.arrival.req.request_id]
        host = self.hosts[job.host]
        name = job.arrival.req.request_id
        new_tokens = int(job.produced) - job.reported
        if new_tokens and not job.arrival.is_poison:
            host.on_first_byte(self.now, name)
            host.on_tokens(self.now, name, new_tokens)
            job.reported += new_tokens
            record.first_byte(self.now + self._answer_delay_s(engine, job.host))
        if (
            job.produced >= job.arrival.answer_tokens
            and not job.arrival.is_poison
        ):
            engine.remove(job)
            self.jobs.pop(name)
            record.add_cheap_tokens(engine.endpoint, job)
            record.end(
                self.now + self._answer_delay_s(engine, job.host), 'answered'
            )
            host.on_finish(self.now, name, outcomes.OK)
            self._tick(job.host)

    def _answer_delay_s(self, engine: Engine, host: int) -> float:
        zones = self.deployment.zones
        delay = self.deployment.settings['client_delay_s']
        if engine.endpoint.zone != zones[host % len(zones)]:
            delay += 2 * self.deployment.settings['zone_delay_s']
        return delay

    def _restart_s(self) -> float:
        return self.deployment.fault_numbers('restart_s')[0]

    def _crash(self, engine: Engine, until: float, cause: str) -> None:
        self.crash_counts[cause] = self.crash_counts.get(cause, 0) + 1
        for job in engine.crash(until):
            record = self.records[job.arrival.req.request_id]
            record.add_cheap_tokens(engine.endpoint, job)
            record.add_crash(cause)
            self._fail_attempt(job, outcomes.CRASHED)

    def _fail_attempt(self, job: Job, outcome: str) -> None:
        name = job.arrival.req.request_id
        record = self.records[name]
        self.jobs.pop(name)
        traffic = job.arrival.traffic
        if traffic.resumable and not job.arrival.is_poison:
            record.resumed_tokens = job.reported
        self.hosts[job.host].on_finish(self.now, name, outcome)
        attempt = FailedAttempt(
            req=record.req,
            endpoint=job.endpoint,
            outcome=outcome,
            number=record.attempts,
            deadline_at=record.deadline(),
            idempotent=traffic.idempotent,
            bytes_left=outcome != outcomes.UNREACHABLE,
        )
        verdict = self.retries[job.host].decide(self.now, attempt)
        if verdict.req is None:
            record.end(self.now, verdict.reason)
            return
        heapq.heappush(self.retry_queue, (verdict.retry_at, name, verdict.req))

    def _inject_faults(self) -> None:
        start, end = self.deployment.fault_numbers('reclaim')
        notice_s = self.deployment.fault_numbers('reclaim_notice_s')[0]
        cheap = [
            entry for entry in self.engines.values() if entry.endpoint.cheap
        ]
        if self._is_due(start):
            self.leaving = {entry.endpoint.name for entry in cheap}
        if self._is_due(start + notice_s):
            for engine in cheap:
                self._crash(engine, end, 'reclaim')
        if self._is_due(end):
            self.leaving = set()
        if self.deployment.is_active('failing', self.now):
            for position, name in enumerate(self.failing):
                phase = self.now + position / 2
                if phase % FAILING_PERIOD_S < STEP_S:
                    self._crash(self.engines[name], self.now, 'failing')

    def _is_due(self, at: float) -> bool:
        return self.now - STEP_S < at <= self.now

    def _synchronize(self) -> None:
        leaving = {entry.name for entry in self.configured if entry.leaving}
        if leaving != self.leaving:
            self._configure()
        demands = {
            f'h{number}': host.demand()
            for number, host in enumerate(self.hosts)
        }
        division = divide_slots(demands, self.configured)
        owned = assign_isolation(demands, self.configured)
        for number, host in enumerate(self.hosts):
            name = f'h{number}'
            host.set_slot_limits(self.now, division[name], owned[name])
            others = [
                report
                for other in self.hosts
                if other is not host
                for report in other.suspects.reports(self.now)
            ]
            host.suspects.merge(self.now, others)
        self._report_loads()

    def _report_loads(self) -> None:
        measured = {
            name: engine.report(self.now)
            for name, engine in self.engines.items()
        }
        self.reports.append((self.now, measured))
        lag_s = self.deployment.settings['report_lag_s']
        while self.reports and self.reports[0][0] <= self.now - lag_s:
            _, late = self.reports.popleft()
            for host in self.hosts:
                for name, report in late.items():
                    host.on_load_report(self.now, name, report)


def simulate(
    name: str, policy: str, seed: int
) -> tuple[dict[str, float], Counts]:
    """Run one simulation and return its figures."""
    simulation = Simulation(Deployment(name), policy, seed)
    simulation.run()
    return measure(simulation)
