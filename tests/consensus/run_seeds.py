"""Runs many seeds of the fault schedule and prints those that fail.

Usage: PYTHONPATH=src:tests python -m consensus.run_seeds --seeds 2000
"""

from __future__ import annotations

import argparse
import sys
import traceback
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from consensus.faults import FaultSchedule


def run_seed(seed: int, size: int) -> tuple[int, int, int, str]:
    """Run a seed; return seed, acknowledged writes, reads and failure."""
    schedule = FaultSchedule(seed, size)
    failure = ''
    try:
        schedule.run()
    except Exception:
        failure = '\n'.join([*schedule.fault_log, traceback.format_exc()])
    history = schedule.cluster.history
    return seed, len(history.acknowledged), history.reads, failure


def main() -> int:
    """Run the seeds and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=2000)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--hosts', type=int, default=3)
    parser.add_argument('--jobs', type=int, default=4)
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.seeds)
    writes = 0
    reads = 0
    failed_seeds: list[int] = []
    with ProcessPoolExecutor(args.jobs) as pool:
        run_one = partial(run_seed, size=args.hosts)
        for outcome in pool.map(run_one, seeds, chunksize=4):
            seed, seed_writes, seed_reads, failure = outcome
            writes += seed_writes
            reads += seed_reads
            if failure:
                failed_seeds.append(seed)
                sys.stdout.write(f'seed {seed} failed:\n{failure}\n')
    totals = f'{writes} acknowledged writes, {reads} reads'
    sys.stdout.write(f'{len(seeds)} seeds, {totals}, failed: {failed_seeds}\n')
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    sys.exit(main())
