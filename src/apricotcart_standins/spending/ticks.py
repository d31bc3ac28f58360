"""Measures the time of the capacity decisions of a tick.

Run with ``python -m apricotcart_standins.spending.ticks --endpoints 3400``.
"""

from __future__ import annotations

import argparse
import sys
import time

from apricotcart.provisioning.placement import SpotRule
from apricotcart.provisioning.sizing import SizingRule
from apricotcart_standins.spending.simulation import SLOTS, Simulation

STEP_S = 0.5
_DEFAULT_ENDPOINTS = 3400
_STEP_COUNT = 240
_MS_PER_S = 1000


def build_simulation(endpoints: int) -> Simulation:
    """Return a simulation of an empty pool with a maximum size."""
    rule = SizingRule(
        slots=SLOTS,
        target_utilisation=1,
        lead_time_s=0,
        release_after_s=10,
        max_endpoints=endpoints,
    )
    simulation = Simulation(rule, SpotRule(), 1, endpoints)
    simulation.step(STEP_S, 0)
    return simulation


def longest_step_s(
    simulation: Simulation,
    demand: float,
    steps: int = _STEP_COUNT,
) -> float:
    """Run steps at a demand and return the longest time, in seconds."""
    longest_s: float = 0
    for _ in range(steps):
        started = time.perf_counter()
        simulation.step(STEP_S, demand)
        longest_s = max(longest_s, time.perf_counter() - started)
    return longest_s


def main() -> int:
    """Print the longest step while a pool grows, is steady and shrinks."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--endpoints', type=int, default=_DEFAULT_ENDPOINTS)
    options = parser.parse_args()
    simulation = build_simulation(options.endpoints)
    full = options.endpoints * SLOTS
    for name, demand in (('grow', full), ('rest', full), ('shrink', 0)):
        longest_ms = longest_step_s(simulation, demand) * _MS_PER_S
        count = len(simulation.state.endpoints())
        sys.stdout.write(
            f'{name}: {count} endpoints, longest step {longest_ms:.0f} ms\n',
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
