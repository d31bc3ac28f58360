"""Requests to endpoints that are slow for moments, with second attempts.

Each endpoint serves a few requests at a time and now and then takes several
times as long for a while, as one that shares its machine does. Arrivals and
disturbances are the same for every way to decide.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Final

from apricotcart.gateway.hedging.policy import HedgePolicy, HedgeSettings

_ENDPOINTS: Final = 6
_SLOTS: Final = 6
_WORK_S: Final = 0.03
_DEADLINE_S: Final = 1.5
# Disturbances: time between two at one endpoint, their length, and their
# factor on the time of work.
_CALM_S: Final = 12.0
_DISTURBED_S: Final = 0.6
_FACTOR: Final = 8.0
_KIND: Final = 'read'

_Task = Callable[[float], None]
# Time in seconds, a number that breaks ties, and the task.
_Event = tuple[float, int, _Task]


class HedgeRule(ABC):
    """Decides when a second attempt is due."""

    name: str

    @abstractmethod
    def delay_s(self, now: float) -> float:
        """Return the time from the send to the second attempt in seconds."""

    @abstractmethod
    def may_send(self) -> bool:
        """Return whether a second attempt may be sent, and count it."""

    def on_request(self) -> None:
        """Count a request."""

    def on_answer(self, now: float, elapsed_s: float) -> None:
        """Record an answer."""


class Never(HedgeRule):
    """No second attempts, as without the feature."""

    name = 'none'

    def delay_s(self, now: float) -> float:
        return math.inf

    def may_send(self) -> bool:
        return False


class FixedDelay(HedgeRule):
    """The same delay at any load, without a limit."""

    name = 'fixed delay'

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s

    def delay_s(self, now: float) -> float:
        return self._delay_s

    def may_send(self) -> bool:
        return True


class MovingQuantile(HedgeRule):
    """The decision of the product."""

    name = 'moving quantile'

    def __init__(self, share: float) -> None:
        self._policy = HedgePolicy(HedgeSettings(share=share))

    def delay_s(self, now: float) -> float:
        return self._policy.delay_s(_KIND, _DEADLINE_S, now)

    def may_send(self) -> bool:
        if not self._policy.has_room:
            return False
        self._policy.on_second_attempt()
        return True

    def on_request(self) -> None:
        self._policy.on_request()

    def on_answer(self, now: float, elapsed_s: float) -> None:
        self._policy.on_answer(now, _KIND, elapsed_s)


class HedgedFleet:
    """Endpoints, their disturbances and the requests to them.

    Parameters
    ----------
    rule : HedgeRule
        Decides about second attempts.
    seed : int
        Seed of arrivals, work and disturbances.
    """

    def __init__(self, rule: HedgeRule, seed: int) -> None:
        self._rule = rule
        self._rng = random.Random(seed)
        self._order = random.Random(seed + 1)
        self._events: list[_Event] = []
        self._numbers = itertools.count()
        self._running = [0 for _ in range(_ENDPOINTS)]
        self._queues: list[list[_Task]] = [[] for _ in range(_ENDPOINTS)]
        self._disturbed_until: list[float] = [0 for _ in range(_ENDPOINTS)]
        self.times_s: list[float] = []
        self.work_s: float = 0
        self.second_attempts = 0

    def run(self, per_s: float, length_s: float) -> None:
        """Play arrivals of a rate for a time, and all their answers."""
        now: float = 0
        while now < length_s:
            now += self._rng.expovariate(per_s)
            self._at(now, self._arrive(self._rng.expovariate(1 / _WORK_S)))
        for endpoint in range(_ENDPOINTS):
            start = self._rng.expovariate(1 / _CALM_S)
            while start < length_s:
                self._at(start, self._disturb(endpoint))
                start += _DISTURBED_S + self._rng.expovariate(1 / _CALM_S)
        while self._events:
            at, _, task = heapq.heappop(self._events)
            task(at)

    def quantile_s(self, ratio: float) -> float:
        """Return the time within which a ratio of the answers came."""
        times_s = sorted(self.times_s)
        return times_s[int(ratio * (len(times_s) - 1))]

    def _at(self, at: float, task: _Task) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), task))

    def _disturb(self, endpoint: int) -> _Task:
        def disturb(now: float) -> None:
            self._disturbed_until[endpoint] = now + _DISTURBED_S

        return disturb

    def _arrive(self, work_s: float) -> _Task:
        def arrive(now: float) -> None:
            self._rule.on_request()
            request = _Request(now, work_s)
            first = self._choose(())
            self._send(request, first, now)
            delay_s = self._rule.delay_s(now)
            if delay_s < math.inf:
                self._at(now + delay_s, self._second(request, first))

        return arrive

    def _second(self, request: _Request, first: int) -> _Task:
        def second(now: float) -> None:
            other = self._choose((first,))
            has_room = self._running[other] < _SLOTS
            if request.is_answered or not has_room:
                return
            if self._rule.may_send():
                self.second_attempts += 1
                self._send(request, other, now)

        return second

    def _choose(self, excluded: Sequence[int]) -> int:
        endpoints = [n for n in range(_ENDPOINTS) if n not in excluded]
        self._order.shuffle(endpoints)
        return min(
            endpoints,
            key=lambda n: self._running[n] + len(self._queues[n]),
        )

    def _send(self, request: _Request, endpoint: int, now: float) -> None:
        def begin(begun_at: float) -> None:
            if request.is_answered:
                self._next(endpoint, begun_at)
                return
            self._running[endpoint] += 1
            request.begun_at[endpoint] = begun_at
            is_disturbed = begun_at < self._disturbed_until[endpoint]
            work_s = request.work_s
            if is_disturbed:
                work_s *= _FACTOR
            self._at(begun_at + work_s, self._end(request, endpoint))

        if self._running[endpoint] < _SLOTS:
            begin(now)
        else:
            self._queues[endpoint].append(begin)

    def _end(self, request: _Request, endpoint: int) -> _Task:
        def end(now: float) -> None:
            if request.is_answered:
                return
            request.answered_at = now
            self.times_s.append(now - request.arrived_at)
            self._rule.on_answer(now, now - request.arrived_at)
            # The attempt that lost is cancelled at the same time.
            for used, begun_at in request.begun_at.items():
                self._running[used] -= 1
                self.work_s += now - begun_at
                self._next(used, now)

        return end

    def _next(self, endpoint: int, now: float) -> None:
        queue = self._queues[endpoint]
        if queue and self._running[endpoint] < _SLOTS:
            queue.pop(0)(now)


class _Request:
    """One request and when it was answered."""

    __slots__ = ('answered_at', 'arrived_at', 'begun_at', 'work_s')

    def __init__(self, arrived_at: float, work_s: float) -> None:
        self.arrived_at = arrived_at
        self.work_s = work_s
        self.answered_at = math.inf
        # When endpoints began to run it.
        self.begun_at: dict[int, float] = {}

    @property
    def is_answered(self) -> bool:
        return self.answered_at < math.inf


def compare(per_s: float, seed: int, length_s: float = 120) -> None:
    """Print p50, p95, p99 in ms and the extra work of each rule."""
    plain: float = 0
    for rule in (Never(), FixedDelay(0.1), MovingQuantile(0.02)):
        fleet = HedgedFleet(rule, seed)
        fleet.run(per_s, length_s)
        plain = plain or fleet.work_s
        quantiles = [
            f'{fleet.quantile_s(ratio) * 1000:7.0f}'
            for ratio in (0.5, 0.95, 0.99)
        ]
        extra = (fleet.work_s / plain - 1) * 100
        words = [f'{per_s:5.0f}/s {rule.name:16}', *quantiles]
        sys.stdout.write(' '.join([*words, f'{extra:6.1f}%\n']))


if __name__ == '__main__':
    for rate in (200, 600, 900):
        compare(rate, 1)
