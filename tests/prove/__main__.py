"""Lists and runs the proofs of guarantees: ``python -m prove --list``."""

from __future__ import annotations

import argparse
import sys

from prove.figures import measure
from prove.guarantees import GUARANTEES, Guarantee
from prove.language import SCENARIOS, read_scenario
from prove.runner import Runner
from prove.seeds import run_seeds


def main() -> int:
    """Run the scenarios that the command line names."""
    parser = argparse.ArgumentParser(prog='prove', description=__doc__)
    parser.add_argument('--list', action='store_true', dest='is_list')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=0)
    parser.add_argument('name', nargs='?', default='all')
    args = parser.parse_args()
    if args.is_list:
        for guarantee in GUARANTEES:
            _print_line(guarantee.line())
        return 0
    if args.name not in _names():
        parser.error(f'no scenario, guarantee or command is called {args.name}')
    if args.name == 'seeds':
        return run_seeds(args.count)
    if args.name == 'figures':
        return measure(args.count)
    return _run_all(args.name, args.seed)


def _names() -> set[str]:
    scenarios = {path.stem for path in SCENARIOS.glob('*.scn')}
    guarantees = {guarantee.name for guarantee in GUARANTEES}
    return {'all', 'seeds', 'figures'} | scenarios | guarantees


def _run_all(name: str, seed: int) -> int:
    chosen = [entry for entry in GUARANTEES if name in {'all', entry.name}]
    if chosen:
        return max([_run_guarantee(guarantee, seed) for guarantee in chosen])
    return _run_scenario(name, name, seed)


def _run_guarantee(guarantee: Guarantee, seed: int) -> int:
    return max(
        [
            _run_scenario(guarantee.name, scenario, seed)
            for scenario in guarantee.scenarios
        ]
    )


def _run_scenario(name: str, scenario: str, seed: int) -> int:
    result = Runner(read_scenario(scenario), seed).run()
    for failure in result.failures:
        _print_line(f'  {scenario}: {failure}')
    verdict = 'FAILED' if result.failures else 'holds'
    figures = ', '.join(result.figures) or 'none'
    _print_line(
        f'{name} {verdict}: {result.fault} ({scenario}); seed {seed}; '
        f'figure: {figures}; {result.seconds:.1f} s'
    )
    return 1 if result.failures else 0


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
