"""Runs seeded schedules of faults: ``python -m soak --seeds 50``."""

from __future__ import annotations

import argparse
import signal
import subprocess
import sys
import time
from collections.abc import Collection
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Final

from soak.checks import ALL_RULES
from soak.regressions import REGRESSIONS
from soak.schedule import run_seed

_JOBS: Final = 2
_TIMEOUT_S: Final = 180
_REPORT: Final = 'report.txt'


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--regressions', action='store_true')
    parser.add_argument('--folder', type=Path)
    parser.add_argument('--one', type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    folder: Path = args.folder or Path(f'soak-{int(time.time())}')
    folder.mkdir(parents=True, exist_ok=True)
    if args.one is not None:
        signal.signal(signal.SIGTERM, _exit)
        return 1 if run_seed(args.one, folder, ALL_RULES) else 0
    seeds: Collection[int] = range(args.first, args.first + args.seeds)
    if args.regressions:
        seeds = REGRESSIONS
    with ThreadPoolExecutor(_JOBS) as pool:
        verdicts = list(pool.map(partial(_run_apart, folder), seeds))
    failed = verdicts.count(False)
    _print_line(f'{len(seeds)} seeds, {failed} failed; logs: {folder}')
    return 1 if failed else 0


def _run_apart(folder: Path, seed: int) -> bool:
    """Run a seed in a process of its own, and keep its logs if it fails."""
    seed_folder = folder / f'seed-{seed}'
    seed_folder.mkdir()
    report = seed_folder / _REPORT
    arguments = ['--one', str(seed), '--folder', str(seed_folder)]
    with report.open('wb') as output:
        run = subprocess.Popen(
            [sys.executable, '-m', 'soak', *arguments],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
    is_passed = _await_end(run) == 0
    _print_line(
        f'seed {seed}: {"passed" if is_passed else f"FAILED, {report}"}'
    )
    return is_passed


def _await_end(run: subprocess.Popen[bytes]) -> int:
    try:
        return run.wait(_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        # It ends its processes before it exits.
        run.terminate()
        return run.wait()


def _exit(*_args: object) -> None:
    sys.exit('the run takes too long')


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
