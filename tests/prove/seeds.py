"""Runs the seeded fault schedules of consensus and platform duties."""

from __future__ import annotations

import logging
import sys
from concurrent.futures import ProcessPoolExecutor

from consensus.run_seeds import run_seed
from platform_sweep import ALL_FAULTS, IGNORE_FENCING, SENDER_FAULTS, run_faults

_JOBS = 4
_HOSTS = 3
_CHUNK = 4
_DEFAULT_COUNT = 2000


def run_seeds(count: int) -> int:
    """Run the seeds from 0 on and print those that fail.

    Parameters
    ----------
    count : int
        Seeds of each kind; 0 for 2,000.
    """
    chosen = range(count or _DEFAULT_COUNT)
    broken = 0
    with ProcessPoolExecutor(_JOBS, initializer=_disable_logging) as pool:
        for run in (_consensus, _platform):
            failures = [
                found
                for found in pool.map(run, chosen, chunksize=_CHUNK)
                if found
            ]
            broken += len(failures)
            title = run.__name__.strip('_')
            lines = [f'{title}: {len(chosen)} seeds, {len(failures)} broken']
            sys.stdout.write('\n'.join([*failures, *lines]) + '\n')
            sys.stdout.flush()
    return 1 if broken else 0


def _disable_logging() -> None:
    """Suppress the log lines of the nodes about faults."""
    logging.disable()


def _consensus(seed: int) -> str:
    failure = run_seed(seed, _HOSTS)[-1]
    return f'consensus seed {seed} breaks:\n{failure}' if failure else ''


def _platform(seed: int) -> str:
    """Run with and without checks of fencing numbers by the receiver."""
    checked = run_faults(seed, ALL_FAULTS)
    unchecked = run_faults(seed, SENDER_FAULTS, IGNORE_FENCING)
    is_ordered = checked.accepted_in_order and unchecked.arrived_in_order
    if is_ordered and not checked.conflicts and not unchecked.conflicts:
        return ''
    return f'platform seed {seed} breaks'
