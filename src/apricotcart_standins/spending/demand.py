"""Pseudo-random demand of one pool over a day."""

from __future__ import annotations

import math
import random

DAY_S = 86400

_BASE_SLOTS = 20
_SWING_SLOTS = 160
_NOISE_DEVIATION = 0.08
_BURST_COUNT = 12
_BURST_SLOTS = (30, 120)
_BURST_S = (120, 1200)
_RISE_S = 60


class DailyDemand:
    """Offered load in slots: a daily cycle, bursts and noise.

    Parameters
    ----------
    seed : int
        Seed of bursts and noise.
    """

    __slots__ = ('_bursts', '_rng', '_shift_s')

    def __init__(self, seed: int) -> None:
        """Draw the phase of the daily cycle and the bursts."""
        self._rng = random.Random(seed)
        self._shift_s = self._rng.uniform(0, DAY_S)
        self._bursts = [self._draw_burst() for _ in range(_BURST_COUNT)]

    def at(self, now: float) -> float:
        """Return the demand at a time, with newly drawn noise."""
        phase = 2 * math.pi * (now + self._shift_s) / DAY_S
        swing = _SWING_SLOTS * (1 - math.cos(phase)) / 2
        bursts = sum(
            height * _burst_level(now - start, length_s)
            for start, length_s, height in self._bursts
        )
        noise = self._rng.gauss(1, _NOISE_DEVIATION)
        return max((_BASE_SLOTS + swing + bursts) * noise, 0)

    def _draw_burst(self) -> tuple[float, float, float]:
        start = self._rng.uniform(0, DAY_S)
        length_s = self._rng.uniform(*_BURST_S)
        return start, length_s, self._rng.uniform(*_BURST_SLOTS)


def _burst_level(elapsed_s: float, length_s: float) -> float:
    if elapsed_s < 0 or elapsed_s > length_s:
        return 0
    return min(elapsed_s / _RISE_S, 1)
