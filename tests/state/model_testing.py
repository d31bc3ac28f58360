"""Base of hypothesis tests that compare a state with a replica."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from apricotcart.codec.packing import pack, unpack
from apricotcart.state.limits import Limits
from apricotcart.state.machine import ClusterState

_run_untyped: Any = run_state_machine_as_test
VALID_MODEL_SETTINGS = settings(max_examples=60, stateful_step_count=40)
#: For runs that must fail: examples are not shrunk. The run ends at the first
#: failure, so ``max_examples`` matters only if there is none. 400 examples were
#: too few for some sets of tests: hypothesis draws constants from all imported
#: modules, so the examples differ with the tests that run.
FAULTY_MODEL_SETTINGS = settings(
    max_examples=5000,
    stateful_step_count=40,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)


class ReplicatedStateTest(RuleBasedStateMachine):
    """Applies each command to a state and to a replica.

    The state is replaced at random points by one restored from its snapshot;
    the replica is never restored.
    """

    limits = Limits()

    def __init__(self) -> None:
        super().__init__()
        self.state = ClusterState(self.limits)
        self.replica = ClusterState(self.limits)
        self.at_ms = 1000

    def send(self, kind: str, **fields: Any) -> dict[str, Any]:
        """Apply a command to both and return the reply."""
        command = pack({'kind': kind, 'at_ms': self.at_ms, **fields})
        index = self.state.tables.applied_index + 1
        reply = self.state.apply(index, command)
        assert self.replica.apply(index, command) == reply
        unpacked: dict[str, Any] = unpack(reply)
        return unpacked

    @rule()
    def restore(self) -> None:
        """Replace the state with one restored from its snapshot."""
        blob = self.state.snapshot()
        assert blob == self.replica.snapshot()
        self.state = ClusterState(self.limits)
        self.state.restore(blob)

    @rule(seconds=st.sampled_from((1, 30, 130)))
    def wait(self, seconds: int) -> None:
        """Advance the time."""
        self.at_ms += 1000 * seconds

    def teardown(self) -> None:
        """Check at the end that state and replica are equal."""
        assert self.state.snapshot() == self.replica.snapshot()


def check_model(machine: type[RuleBasedStateMachine]) -> None:
    """Run a hypothesis state machine that must pass."""
    _run_untyped(machine, settings=VALID_MODEL_SETTINGS)


@contextlib.contextmanager
def _patched(target: object, name: str, faulty: Any) -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(target, name, faulty)
        yield


def check_model_fails(
    machine: type[RuleBasedStateMachine],
    target: object,
    name: str,
    faulty: Any,
) -> None:
    """Check that a hypothesis state machine fails with a faulty attribute."""
    with (
        _patched(target, name, faulty),
        pytest.raises((AssertionError, KeyError)),
    ):
        _run_untyped(machine, settings=FAULTY_MODEL_SETTINGS)
