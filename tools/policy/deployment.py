"""Reads deployments from INI files and generates their requests."""

from __future__ import annotations

import configparser
import random
from pathlib import Path

from apricotcart.endpoints.records import Endpoint
from apricotcart.scheduling.records import (
    Customer,
    QueuedRequest,
    ServiceClass,
)

FOLDER = Path(__file__).parent
# Output lengths are lognormal: most are short and a few very long.
LENGTH_SIGMA = 1.0
MAX_TOKENS = 1000
PREFIXES = 3
POISON_CLASS_INDEX = 1


class Traffic:
    """Traffic of one service class."""

    def __init__(self, name: str, fields: configparser.SectionProxy) -> None:
        self.service_class = ServiceClass(
            name=name,
            tier=int(fields['tier']),
            first_token_s=float(fields['first_token_s']),
            total_s=float(fields['total_s']),
            max_wait_s=float(fields['max_wait_s']),
            min_share=float(fields['min_share']),
        )
        self.name = name
        self.pool = fields['pool']
        self.rate = float(fields['rate'])
        self.prompt_tokens = int(fields['prompt_tokens'])
        self.output_tokens = int(fields['output_tokens'])
        self.idempotent = fields['idempotent'] == 'yes'
        self.resumable = fields['resumable'] == 'yes'


class Arrival:
    """One generated request."""

    def __init__(
        self, req: QueuedRequest, traffic: Traffic, arrived_at: float, host: int
    ) -> None:
        self.req = req
        self.traffic = traffic
        self.arrived_at = arrived_at
        self.host = host
        self.answer_tokens = 0
        self.is_poison = False


class Deployment:
    """Hosts, endpoints, traffic and faults, the same for all policies."""

    def __init__(self, name: str) -> None:
        """Read ``<name>.ini`` in this folder."""
        ini = configparser.ConfigParser()
        ini.read_string((FOLDER / f'{name}.ini').read_text())
        self.name = name
        self.seed = 0
        settings = dict(ini['deployment'])
        self.zones = settings.pop('zones').split()
        self.settings = {key: float(text) for key, text in settings.items()}
        self.faults = dict(ini['faults'])
        self.numbers_by_fault = {
            key: [float(part) for part in text.split()]
            for key, text in self.faults.items()
            if not key.startswith('flood_')
        }
        self.hosts = int(self.settings['hosts'])
        self.duration_s = self.settings['duration_s']
        self.customers = [
            Customer(name=key, weight=float(text))
            for key, text in ini['customers'].items()
        ]
        self.traffic = [
            Traffic(section.split()[1], ini[section])
            for section in ini.sections()
            if section.startswith('class ')
        ]
        self.classes = [entry.service_class for entry in self.traffic]
        self.endpoints: list[Endpoint] = []
        self.slow: set[str] = set()
        for section in ini.sections():
            if section.startswith('pool '):
                self._add_pool(section.split()[1], ini[section])

    def fault_numbers(self, fault: str) -> list[float]:
        """Return the numbers of a fault: start, end, factor or ratio."""
        return self.numbers_by_fault[fault]

    def is_active(self, fault: str, now: float) -> bool:
        """Return whether the fault is active."""
        start, end = self.fault_numbers(fault)[:2]
        return start <= now < end

    def arrivals(self, seed: int) -> list[Arrival]:
        """Return the requests of one seed in order of arrival."""
        self.seed = seed
        rng = random.Random(f'{self.name}-{seed}')
        arrivals: list[Arrival] = []
        for traffic in self.traffic:
            for customer in self.customers:
                arrivals.extend(self._customer_arrivals(rng, traffic, customer))
        arrivals.sort(key=_arrival_time)
        poison_at = self.fault_numbers('poison')[0]
        poisoned_pool = self.traffic[POISON_CLASS_INDEX].pool
        for entry in arrivals:
            if (
                entry.arrived_at >= poison_at
                and entry.traffic.pool == poisoned_pool
            ):
                entry.is_poison = True
                break
        return arrivals

    def _add_pool(self, pool: str, fields: configparser.SectionProxy) -> None:
        workers = int(fields['workers'])
        cheap = int(fields['cheap'])
        regular_zones = [
            zone for zone in self.zones if zone != fields['cheap_zone']
        ]
        for number in range(workers):
            is_cheap = number >= workers - cheap
            zone = regular_zones[number % len(regular_zones)]
            if is_cheap:
                zone = fields['cheap_zone']
            name = f'{pool}-{number}'
            self.endpoints.append(
                Endpoint(
                    name=name,
                    pool=pool,
                    zone=zone,
                    slots=int(fields['slots']),
                    cheap=is_cheap,
                )
            )
            if number < int(fields['slow']):
                self.slow.add(name)

    def _customer_arrivals(
        self, rng: random.Random, traffic: Traffic, customer: Customer
    ) -> list[Arrival]:
        total = sum(entry.weight for entry in self.customers)
        base_rate = traffic.rate * customer.weight / total
        arrivals: list[Arrival] = []
        now = rng.expovariate(base_rate)
        while now < self.duration_s:
            host = self._choose_host(customer, now, rng)
            arrivals.append(self._arrival(rng, traffic, customer, now, host))
            factor = self._rate_factor(traffic, customer, now)
            now += rng.expovariate(base_rate * factor)
        return arrivals

    def _rate_factor(
        self, traffic: Traffic, customer: Customer, now: float
    ) -> float:
        factor: float = 1
        if self.is_active('burst', now):
            factor = self.fault_numbers('burst')[2]
        is_flooding = (customer.name, traffic.name) == (
            self.faults['flood_customer'],
            self.faults['flood_class'],
        )
        if is_flooding and self.is_active('flood', now):
            factor = self.fault_numbers('flood')[2]
        return factor

    def _choose_host(
        self, customer: Customer, now: float, rng: random.Random
    ) -> int:
        # A caller uses two host addresses for 30 s before it fetches new ones.
        window_rng = random.Random(
            f'{self.seed}-{customer.name}-{int(now / 30)}'
        )
        return rng.choice(window_rng.sample(range(self.hosts), 2))

    def _arrival(
        self,
        rng: random.Random,
        traffic: Traffic,
        customer: Customer,
        now: float,
        host: int,
    ) -> Arrival:
        req = QueuedRequest(
            request_id=f'{traffic.name}-{customer.name}-{now:.6f}',
            customer=customer.name,
            class_name=traffic.name,
            pool=traffic.pool,
            prompt_tokens=traffic.prompt_tokens,
            max_tokens=MAX_TOKENS,
            prefix_hash=f'{traffic.name}-{rng.randrange(PREFIXES)}',
            resumable=traffic.resumable,
            deadline_at=now + traffic.service_class.total_s,
        )
        arrival = Arrival(req, traffic, now, host)
        length = rng.lognormvariate(0, LENGTH_SIGMA) * traffic.output_tokens
        # The mean of the lognormal factor is exp(sigma squared / 2).
        arrival.answer_tokens = max(1, min(MAX_TOKENS, int(length / 1.65)))
        return arrival


def _arrival_time(arrival: Arrival) -> float:
    return arrival.arrived_at
