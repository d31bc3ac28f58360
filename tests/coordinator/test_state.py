"""Guards against a desired state that reverts or changes within a version."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from apricotcart.codec.packing import pack, unpack
from apricotcart.coordinator.state import (
    CLOSE_WINDOW,
    FENCE,
    REPLACE,
    WINDOW_SENT,
    CoordinatorState,
)


def _run(state: CoordinatorState, **command: Any) -> Any:
    return unpack(state.apply(1, pack(command)))


def test_replace_older_is_acknowledged_and_changes_nothing() -> None:
    state = CoordinatorState()
    assert _run(state, kind=REPLACE, version=5, document=b'five')['ok']
    assert _run(state, kind=REPLACE, version=3, document=b'three')['ok']
    assert _run(state, kind=REPLACE, version=5, document=b'other')['ok']
    assert (state.version, state.document) == (5, b'five')


def test_unknown_command_is_refused_without_a_change() -> None:
    state = CoordinatorState()
    assert not _run(state, kind='later')['ok']
    assert state.version == -1


def test_window_keeps_its_first_counts() -> None:
    state = CoordinatorState()
    _run(state, kind=CLOSE_WINDOW, window=7, counts={'a': 1})
    _run(state, kind=CLOSE_WINDOW, window=7, counts={'a': 2})
    _run(state, kind=WINDOW_SENT, window=7)
    _run(state, kind=CLOSE_WINDOW, window=7, counts={})
    assert state.windows[7].counts == {'a': 1}
    assert state.windows[7].is_reported


def test_fencing_token_increases_across_a_snapshot() -> None:
    state = CoordinatorState()
    first = _run(state, kind=FENCE, holder='a')['fencing']
    restored = CoordinatorState()
    restored.restore(state.snapshot())
    assert _run(restored, kind=FENCE, holder='b')['fencing'] == first + 1


class CoordinatorStateMachine(RuleBasedStateMachine):
    """Commands in any order, with restores from snapshots in between."""

    def __init__(self) -> None:
        super().__init__()
        self.state = CoordinatorState()
        self.highest = -1
        self.documents: dict[int, bytes] = {}
        self.closed: dict[int, dict[str, int]] = {}

    @rule(version=st.integers(0, 12), document=st.binary(max_size=3))
    def replace(self, version: int, document: bytes) -> None:
        _run(self.state, kind=REPLACE, version=version, document=document)
        if version > self.highest:
            self.highest = version
            self.documents[version] = document

    @rule(window=st.integers(0, 8), count=st.integers(0, 3))
    def close(self, window: int, count: int) -> None:
        counts = {'a': count}
        _run(self.state, kind=CLOSE_WINDOW, window=window, counts=counts)
        self.closed.setdefault(window, counts)

    @rule()
    def restart(self) -> None:
        restored = CoordinatorState()
        restored.restore(self.state.snapshot())
        self.state = restored

    @invariant()
    def newest_version_is_kept(self) -> None:
        assert self.state.version == self.highest
        if self.highest >= 0:
            assert self.state.document == self.documents[self.highest]

    @invariant()
    def windows_never_change(self) -> None:
        for window, counts in self.closed.items():
            assert self.state.windows[window].counts == counts


CoordinatorStateMachine.TestCase.settings = settings(
    max_examples=60, deadline=None
)
TestCoordinatorState = CoordinatorStateMachine.TestCase


def test_software_versions_survive_a_snapshot() -> None:
    state = CoordinatorState()
    versions = {'lm': ['v1', 'v2']}
    command = {'kind': 'set_versions', 'versions': versions}
    assert unpack(state.apply(1, pack(command)))['ok']
    restored = CoordinatorState()
    restored.restore(state.snapshot())
    assert restored.software_versions == {'lm': frozenset(('v1', 'v2'))}


def test_snapshot_of_an_earlier_build_is_restored() -> None:
    fields = unpack(CoordinatorState().snapshot())
    fields.pop('software_versions')
    restored = CoordinatorState()
    restored.restore(pack(fields))
    assert not restored.software_versions
