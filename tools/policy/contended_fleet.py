"""Simulates customers that contend for too few engines at many gateways.

One of them sends many times its usual while a part of the engines is gone. The
baseline is the order by urgency and arrival alone: all requests then carry the
same customer. ``python -m policy.contended_fleet`` prints both.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from collections.abc import Sequence
from typing import Final

from policy.gateway_fleet import (
    GatewayFleet,
    RequestKind,
    SimulatedGateway,
)

_CUSTOMERS: Final = 24
# Share of the load of the largest customer, and of each one after it.
_LARGEST_SHARE: Final = 0.22
_SHARE_RATIO: Final = 0.82
_HOT_CUSTOMER: Final = 'c4'
_HOT_FACTOR: Final = 7.5
_OVERLOAD_AT_S: Final = 3.0
_OVERLOAD_S: Final = 10.0
_END_S: Final = 16.0
_LOST_RATIO: Final = 0.2
# Slots of which the rates of the kinds use six tenths.
_SLOTS_OF_RATES: Final = 900
_SAMPLE_S: Final = 0.05
_LARGEST_QUANTILE: Final = 0.9


class ContendedFleet(GatewayFleet):
    """Gateways whose customers together need more than there is.

    Parameters
    ----------
    has_hot : bool
        Whether one customer sends many times its usual.
    is_fair : bool
        Whether gateways know the customer of a request.
    hosts, engines, slots : int
        Number of gateways and of engines, and slots of each engine.
    seed : int
        Seed of arrivals, customers and gateways.

    Attributes
    ----------
    arrived : list
        Customer, size in tokens, target and arrival of each request.
    decide_s : list of float
        Process time of each pass over a queue, in seconds.
    """

    def __init__(
        self,
        *,
        has_hot: bool,
        is_fair: bool,
        hosts: int = 75,
        engines: int = 45,
        slots: int = 16,
        seed: int = 1,
    ) -> None:
        self._is_fair = is_fair
        self._has_hot = has_hot
        self._hot_rate: float = 0
        self._weights = {
            f'c{number}': _LARGEST_SHARE * _SHARE_RATIO**number
            for number in range(_CUSTOMERS)
        }
        self._customers: dict[str, str] = {}
        self.arrived: dict[str, tuple[str, int, float, float]] = {}
        self.first_s: dict[str, float] = {}
        self.decide_s: list[float] = []
        self._idle: list[float] = []
        super().__init__(
            hosts=hosts,
            engines=engines,
            slots=slots,
            kinds=_kinds(engines * slots),
            seed=seed,
        )
        self._later(_OVERLOAD_AT_S, self._begin_overload)
        self._later(_OVERLOAD_AT_S + _OVERLOAD_S, self._end_overload)
        self._later(_SAMPLE_S, self._sample)

    @property
    def idle_ratio(self) -> float:
        """Ratio of idle slot time while a request waits at any gateway."""
        return sum(self._idle) / max(1, len(self._idle))

    def met(self, customer: str | None = None) -> float:
        """Return the ratio of requests in the overload that met the target."""
        names = [
            name
            for name, (owner, _, _, at) in self.arrived.items()
            if customer in {None, owner} and _is_in_overload(at)
        ]
        met = sum(
            self.first_s.get(name, sys.maxsize) <= self.arrived[name][2]
            for name in names
        )
        return met / max(1, len(names))

    def served(self, *, largest: bool) -> float:
        """Return the ratio of requests, or the largest tenth, that began."""
        names = [
            name
            for name, (_, _, _, at) in self.arrived.items()
            if _is_in_overload(at)
        ]
        names.sort(key=lambda name: self.arrived[name][1])
        if largest:
            names = names[int(len(names) * _LARGEST_QUANTILE) :]
        return sum(name in self.first_s for name in names) / max(1, len(names))

    def first_p99_s(self) -> float:
        """Return the 99th percentile of the time to the first token."""
        times = sorted(
            first_s
            for name, first_s in self.first_s.items()
            if _is_in_overload(self.arrived[name][3])
        )
        return times[int(len(times) * 0.99)] if times else 0

    def customers(self) -> list[str]:
        """Return the names of the customers, the largest first."""
        return list(self._weights)

    def _arrive(self, kind: RequestKind) -> None:
        factor = 1 + (_HOT_FACTOR - 1) * self._hot_rate
        self._later(
            self._rng.expovariate(kind.rate_per_s * factor), self._arrive, kind
        )
        gateway = self._rng.choice(self.gateways)
        weights = dict(self._weights)
        if self._hot_rate:
            weights[_HOT_CUSTOMER] *= _HOT_FACTOR
        customer = self._rng.choices(
            list(weights), weights=list(weights.values())
        )[0]
        arrival = self.new_arrival(kind)
        requirements = arrival.requirements
        requirements.output_tokens = max(
            1, int(requirements.output_tokens * self._rng.expovariate(1))
        )
        requirements.customer = customer if self._is_fair else ''
        name = f'r{next(self._ids)}'
        self.arrived[name] = (
            customer,
            requirements.tokens,
            kind.target_s,
            self.now,
        )
        self._enqueue(gateway, name, arrival)
        self._decide(gateway)

    def _decide(self, gateway: SimulatedGateway) -> None:
        started = time.process_time()
        super()._decide(gateway)
        self.decide_s.append(time.process_time() - started)

    def _on_first(self, name: str, first_s: float) -> None:
        self.first_s[name] = first_s

    def _begin_overload(self) -> None:
        lost = round(len(self.engines) * _LOST_RATIO)
        listed = [engine.instance for engine in self.engines.values()][lost:]
        for gateway in self.gateways:
            gateway.placement.update_instances(listed, self.now)
        if self._has_hot:
            weight = self._weights[_HOT_CUSTOMER]
            self._hot_rate = weight / sum(self._weights.values())

    def _end_overload(self) -> None:
        self._hot_rate = 0
        self.add_engines(0)

    def _sample(self) -> None:
        self._later(_SAMPLE_S, self._sample)
        if not _is_in_overload(self.now):
            return
        if not any(len(gateway.queue) for gateway in self.gateways):
            return
        listed = self.gateways[0].placement.endpoints()
        running = [
            self.engines[endpoint.instance.instance_id].running
            for endpoint in listed
        ]
        idle = sum(max(0, self._slots - count) for count in running)
        self._idle.append(idle / (self._slots * max(1, len(listed))))


def _is_in_overload(at: float) -> bool:
    return _OVERLOAD_AT_S <= at < _OVERLOAD_AT_S + _OVERLOAD_S


def _kinds(slots: int) -> list[RequestKind]:
    """Return kinds that use six tenths of the slots."""
    scale = slots / _SLOTS_OF_RATES
    return [
        RequestKind(
            name='chat',
            rate_per_s=100 * scale,
            shared_tokens=200,
            own_tokens=600,
            output_tokens=500,
            level=2,
            target_s=0.64,
        ),
        RequestKind(
            name='review',
            rate_per_s=100 * scale,
            shared_tokens=1400,
            own_tokens=1600,
            output_tokens=700,
            level=1,
            target_s=1.5,
        ),
        RequestKind(
            name='batch',
            rate_per_s=60 * scale,
            shared_tokens=400,
            own_tokens=1800,
            output_tokens=250,
            target_s=4,
        ),
    ]


def measure(
    *, is_fair: bool, seed: int, hosts: int = 75, engines: int = 45
) -> dict[str, float]:
    """Return the figures of one order, with and without the hot customer.

    Parameters
    ----------
    is_fair : bool
        Whether gateways know the customer of a request.
    seed : int
        Seed of the run.
    hosts, engines : int
        Number of gateways and of engines.
    """
    runs = []
    for has_hot in (False, True):
        fleet = ContendedFleet(
            has_hot=has_hot,
            is_fair=is_fair,
            hosts=hosts,
            engines=engines,
            seed=seed,
        )
        fleet.run(_END_S)
        runs.append(fleet)
    calm, hot = runs
    others = [name for name in hot.customers() if name != _HOT_CUSTOMER]
    changes = [calm.met(name) - hot.met(name) for name in others]
    decide_s = sorted(hot.decide_s)
    return {
        'met % without hot customer': 100 * calm.met(),
        'met %': 100 * hot.met(),
        'met % of the hot customer': 100 * hot.met(_HOT_CUSTOMER),
        'met % of the worst other': 100 * min(map(hot.met, others)),
        'mean loss of others, points': 100 * sum(changes) / len(changes),
        'worst loss of others, points': 100 * max(changes),
        'served %': 100 * hot.served(largest=False),
        'served % of the largest tenth': 100 * hot.served(largest=True),
        'p99 first token s': hot.first_p99_s(),
        'idle % while any waits': 100 * hot.idle_ratio,
        'rejections': hot.tally.rejections,
        'us/decision, median': 1e6 * decide_s[len(decide_s) // 2],
    }


def main(argv: Sequence[str] | None = None) -> None:
    """Print the figures of both orders."""
    parser = argparse.ArgumentParser(prog='python -m policy.contended_fleet')
    parser.add_argument('--seeds', type=int, default=2)
    parser.add_argument('--hosts', type=int, default=75)
    args = parser.parse_args(argv)
    totals: dict[bool, Counter[str]] = {False: Counter(), True: Counter()}
    for is_fair, total in totals.items():
        for seed in range(args.seeds):
            figures = measure(is_fair=is_fair, seed=seed, hosts=args.hosts)
            for name, figure in figures.items():
                total[name] += figure / args.seeds
    sys.stdout.write(f'{"":32}{"arrival":>10}{"fair":>10}\n')
    for name in totals[True]:
        before, after = totals[False][name], totals[True][name]
        sys.stdout.write(f'{name:32}{before:10.2f}{after:10.2f}\n')


if __name__ == '__main__':
    main()
