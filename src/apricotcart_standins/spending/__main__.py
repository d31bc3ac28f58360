"""Compares the cost of capacity rules.

Run with ``python -m apricotcart_standins.spending --seeds 10``.
"""

from __future__ import annotations

import argparse
import math
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from apricotcart.provisioning.placement import SpotRule
from apricotcart.provisioning.sizing import SizingRule
from apricotcart_standins.spending.demand import DAY_S, DailyDemand
from apricotcart_standins.spending.measure import (
    STEP_S,
    DayFigures,
    DaySimulation,
)
from apricotcart_standins.spending.simulation import SLOTS

NO_SPOT_RULE = SpotRule(zone_share=0, total_share=0)

_PERCENT = 100
_LINE = (
    '{0:14} spending {1:7.1f}  late {2:5.2f}% (worst day {3:5.2f}%)  '
    'spot {4:4.1f}% (one zone at most {5:4.1f}%)  requests {6:6.0f}\n'
)


def fixed_at_peak(seed: int) -> DayFigures:
    """Run a pool that is always sized for the day's peak demand."""
    demand = DailyDemand(seed)
    times = range(0, DAY_S, STEP_S)
    size = math.ceil(max(map(demand.at, times)) / SLOTS)
    rule = SizingRule(slots=SLOTS, min_endpoints=size, max_endpoints=size)
    return DaySimulation(rule, NO_SPOT_RULE, seed).run()


def no_hysteresis(seed: int) -> DayFigures:
    """Run a pool that follows demand at 75% utilisation without delay."""
    rule = SizingRule(slots=SLOTS, lead_time_s=0, release_after_s=0)
    return DaySimulation(rule, NO_SPOT_RULE, seed).run()


def without_spot(seed: int) -> DayFigures:
    """Run the default sizing rule on regular endpoints only."""
    return DaySimulation(SizingRule(slots=SLOTS), NO_SPOT_RULE, seed).run()


def shipped(seed: int) -> DayFigures:
    """Run the default sizing and spot rules."""
    return DaySimulation(SizingRule(slots=SLOTS), SpotRule(), seed).run()


def main() -> int:
    """Print one line per rule."""
    parser = argparse.ArgumentParser(prog='apricotcart_standins.spending')
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--jobs', type=int, default=3)
    options = parser.parse_args()
    seeds = range(1, options.seeds + 1)
    with ProcessPoolExecutor(options.jobs) as pool:
        for rule in (fixed_at_peak, no_hysteresis, without_spot, shipped):
            _print_summary(rule.__name__, list(pool.map(partial(rule), seeds)))
    return 0


def _print_summary(name: str, days: list[DayFigures]) -> None:
    spending = statistics.mean(day.spending for day in days)
    late = statistics.mean(day.late for day in days) * _PERCENT
    worst = max(day.late for day in days) * _PERCENT
    cheap = statistics.mean(day.cheap for day in days) * _PERCENT
    orders = statistics.mean(day.orders for day in days)
    zone = max(day.zone_share for day in days) * _PERCENT
    figures = (spending, late, worst, cheap, zone, orders)
    sys.stdout.write(_LINE.format(name, *figures))
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
