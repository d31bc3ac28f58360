"""Deployments and arrivals, read from INI files."""

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

HERE = Path(__file__).parent
# Output lengths are lognormal; most are short and some very long.
LENGTH_SIGMA = 1.0
MAX_TOKENS = 1000
PREFIXES = 3
POISON_CLASS_INDEX = 1


class Traffic:
    """One class of requests."""

    def __init__(self, name: str, fields: configparser.SectionProxy) -> None:
        """Read the section."""
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
    """One request of the script."""

    def __init__(
        self, req: QueuedRequest, traffic: Traffic, at: float, host: int
    ) -> None:
        """Keep the fields."""
        self.req = req
        self.traffic = traffic
        self.at = at
        self.host = host
        self.length = 0
        self.poison = False


class Deployment:
    """Everything that is the same for all policies."""

    def __init__(self, name: str) -> None:
        """Read the INI file of that name."""
        ini = configparser.ConfigParser()
        ini.read_string((HERE / f'{name}.ini').read_text())
        self.name = name
        self.seed = 0
        base = dict(ini['deployment'])
        self.zones = base.pop('zones').split()
        self.base = {key: float(text) for key, text in base.items()}
        self.faults = dict(ini['faults'])
        self.spans = {
            key: [float(part) for part in text.split()]
            for key, text in self.faults.items()
            if not key.startswith('flood_')
        }
        self.hosts = int(self.base['hosts'])
        self.duration_s = self.base['duration_s']
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

    def span(self, fault: str) -> list[float]:
        """Give the numbers of a fault."""
        return self.spans[fault]

    def active(self, fault: str, now: float) -> bool:
        """Tell whether the fault is on."""
        start, end = self.span(fault)[:2]
        return start <= now < end

    def arrivals(self, seed: int) -> list[Arrival]:
        """Give the script of requests of one seed, by time."""
        self.seed = seed
        rng = random.Random(f'{self.name}-{seed}')
        script: list[Arrival] = []
        for traffic in self.traffic:
            for customer in self.customers:
                script.extend(self._of_customer(rng, traffic, customer))
        script.sort(key=_arrival_time)
        poison_at = self.span('poison')[0]
        poisoned = self.traffic[POISON_CLASS_INDEX].pool
        for entry in script:
            if entry.at >= poison_at and entry.traffic.pool == poisoned:
                entry.poison = True
                break
        return script

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

    def _of_customer(
        self, rng: random.Random, traffic: Traffic, customer: Customer
    ) -> list[Arrival]:
        total = sum(entry.weight for entry in self.customers)
        base = traffic.rate * customer.weight / total
        made: list[Arrival] = []
        now = rng.expovariate(base)
        while now < self.duration_s:
            host = self._host(customer, now, rng)
            made.append(self._arrival(rng, traffic, customer, now, host))
            factor = self._factor(traffic, customer, now)
            now += rng.expovariate(base * factor)
        return made

    def _factor(
        self, traffic: Traffic, customer: Customer, now: float
    ) -> float:
        factor: float = 1
        if self.active('burst', now):
            factor = self.span('burst')[2]
        floods = (customer.name, traffic.name) == (
            self.faults['flood_customer'],
            self.faults['flood_class'],
        )
        if floods and self.active('flood', now):
            factor = self.span('flood')[2]
        return factor

    def _host(self, customer: Customer, now: float, rng: random.Random) -> int:
        # A caller keeps two addresses for 30 s before it asks again.
        choice = random.Random(f'{self.seed}-{customer.name}-{int(now / 30)}')
        return rng.choice(choice.sample(range(self.hosts), 2))

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
        arrival.length = max(1, min(MAX_TOKENS, int(length / 1.65)))
        return arrival


def _arrival_time(arrival: Arrival) -> float:
    return arrival.at
