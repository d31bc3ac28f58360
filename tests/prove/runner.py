"""Runs a scenario on real processes."""

from __future__ import annotations

import random
import shutil
import tempfile
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from pathlib import Path

from prove.actions import Actions
from prove.expectations import Expectations
from prove.history import History
from prove.language import ScenarioError, Step
from prove.world import World

_SETTLE_S = 20.0
Verb = Callable[[Step], None]


class Result:
    """Failures and figures of one run."""

    __slots__ = ('failures', 'fault', 'figures', 'seconds')

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.failures: list[str] = []
        self.figures: list[str] = []
        self.seconds: float = 0


class Runner:
    """Runs the steps of one scenario and checks the history.

    Parameters
    ----------
    steps : list of Step
        The scenario.
    seed : int
        Chooses each wait that is given as a range.
    """

    __slots__ = ('_rng', '_steps', '_verbs', 'result')

    def __init__(self, steps: Sequence[Step], seed: int) -> None:
        """Read the fault's description."""
        self._steps = steps
        self._rng = random.Random(seed)
        self._verbs: dict[str, Verb] = {}
        faults = [step.words[0] for step in steps if step.verb == 'fault']
        self.result = Result(', '.join(faults))

    def run(self) -> Result:
        """Run all steps in a new cluster, which is stopped at the end."""
        started = time.monotonic()
        with ExitStack() as stack:
            folder = Path(tempfile.mkdtemp(prefix='apricotcart-prove-'))
            world = World(folder)
            stack.callback(shutil.rmtree, folder, ignore_errors=True)
            stack.callback(world.stop)
            self._verbs = _verbs(world, self)
            try:
                self._run_steps(world)
            except Exception as exc:
                kind = type(exc).__name__
                self.result.failures.append(f'{kind}: {exc}')
            self.result.figures = world.figures
        self.result.seconds = time.monotonic() - started
        return self.result

    def wait(self, step: Step) -> None:
        """Wait for a number of seconds or a random one from a range."""
        for word in step.words:
            low, is_range, high = word.partition('..')
            if is_range:
                time.sleep(self._rng.uniform(float(low), float(high)))
            else:
                time.sleep(float(word))

    def _run_steps(self, world: World) -> None:
        for step in self._steps:
            if step.at_s is not None:
                due = world.started_at + step.at_s
                time.sleep(max(0, due - time.monotonic()))
            try:
                self._verbs[step.verb](step)
            except ScenarioError as exc:
                message = f'line {step.line}: {step}: {exc}'
                self.result.failures.append(message)
        world.restore(_SETTLE_S)
        secrets = [secret for _, secret in world.keys.values()]
        history = History(world.callers, secrets)
        self.result.failures.extend(history.violations(world.outcomes))


def _verbs(world: World, runner: Runner) -> dict[str, Verb]:
    actions = Actions(world)
    return {
        'guarantee': _describe,
        'fault': _describe,
        'start': actions.start,
        'stop': actions.stop,
        'kill': actions.kill,
        'freeze': actions.freeze,
        'thaw': actions.thaw,
        'cut': actions.cut,
        'heal': actions.heal,
        'delay': actions.delay,
        'lose-disk': actions.lose_disk,
        'declare': actions.declare,
        'withdraw': actions.withdraw,
        'disturb': actions.disturb,
        'chat': actions.chat,
        'stream': actions.chat,
        'order': actions.order,
        'resend': actions.order,
        'name': actions.name,
        'wait': runner.wait,
        'expect': Expectations(world).expect,
    }


def _describe(step: Step) -> None:
    """Do nothing: the line only describes the scenario."""
