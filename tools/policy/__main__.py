"""Prints the figures of all policies: ``python -m policy``."""

from __future__ import annotations

import argparse
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

from policy.measures import worst_gap
from policy.simulation import POLICIES, simulate

WIDTH = 27
DEPLOYMENTS = ('sealdesk', 'sailom')


def print_table(name: str, policies: list[str], seeds: int, jobs: int) -> None:
    """Print the table of one deployment, a column for each policy."""
    sys.stdout.write(f'\n{name}, {seeds} seeds: mean (min to max)\n')
    with ProcessPoolExecutor(jobs) as pool:
        columns = [
            [pool.submit(simulate, name, policy, seed) for seed in range(seeds)]
            for policy in policies
        ]
        tables = [[run.result() for run in column] for column in columns]
    write_row('', policies)
    for figure in tables[0][0][0]:
        cells = [
            format_spread([run[0][figure] for run in runs]) for runs in tables
        ]
        write_row(figure, cells)
    pooled = [worst_gap([run[1] for run in runs]) for runs in tables]
    write_row('same gap, seeds pooled', [f'{gap:.1f}' for gap in pooled])


def write_row(title: str, cells: list[str]) -> None:
    """Print one line of the table."""
    padded = [cell.rjust(WIDTH) for cell in cells]
    line = ''.join([title.ljust(WIDTH), *padded, '\n'])
    sys.stdout.write(line)


def format_spread(numbers: list[float]) -> str:
    """Format the mean, minimum and maximum."""
    mean = statistics.fmean(numbers)
    return f'{mean:.1f} ({min(numbers):.1f} to {max(numbers):.1f})'


def main() -> None:
    """Print the tables that the command line selects."""
    parser = argparse.ArgumentParser(prog='python -m policy')
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--deployment', choices=DEPLOYMENTS)
    parser.add_argument('--policy', choices=POLICIES)
    args = parser.parse_args()
    names = [args.deployment] if args.deployment else list(DEPLOYMENTS)
    policies = [args.policy] if args.policy else list(POLICIES)
    for name in names:
        print_table(name, policies, args.seeds, args.jobs)


if __name__ == '__main__':
    main()
