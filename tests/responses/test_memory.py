"""Guards against callers who keep others from their answers."""

from __future__ import annotations

import pytest

from apricotcart.responses.memory import (
    UNCOUNTED_BYTES,
    HeldBytes,
    ResponseMemory,
    ResponseMemoryError,
    SlowReader,
)

_LIMIT_BYTES = 1000
_GRACE_S = 2.0


class _Reader(SlowReader):
    def __init__(self) -> None:
        self.has_ended = False

    def end(self) -> None:
        self.has_ended = True


class _Table:
    """Responses whose callers do not read, at times that the test sets."""

    def __init__(self) -> None:
        self.now: float = 0
        self.memory = ResponseMemory(_LIMIT_BYTES, _GRACE_S, lambda: self.now)

    def add(self, size: int, door: object = None) -> tuple[HeldBytes, _Reader]:
        held, reader = self.memory.hold(), _Reader()
        held.resize(UNCOUNTED_BYTES + size)
        held.start_waiting(reader, 0, door)
        return held, reader

    def grow(self, size: int) -> HeldBytes:
        held = self.memory.hold()
        held.resize(UNCOUNTED_BYTES + size)
        return held


def test_most_bytes_for_longest_give_way_first() -> None:
    table = _Table()
    small = table.add(100)
    large = table.add(600)
    table.now = 3
    late = table.add(200)
    table.now = 4
    kept = table.grow(300)
    assert large[1].has_ended
    assert not small[1].has_ended
    assert not late[1].has_ended
    assert table.memory.total == 100 + 200 + 300
    with pytest.raises(ResponseMemoryError):
        large[0].resize(UNCOUNTED_BYTES + 1)
    assert kept


def test_callers_within_their_time_do_not_give_way() -> None:
    table = _Table()
    held, reader = table.add(900)
    table.now = _GRACE_S
    with pytest.raises(ResponseMemoryError):
        table.grow(200)
    assert not reader.has_ended
    assert held


def test_times_without_reading_add_up() -> None:
    """Guards against a caller who reads a byte whenever it is late."""
    table = _Table()
    held, reader = table.add(900)
    for _ in range(3):
        table.now += 1
        held.stop_waiting()
        held.start_waiting(reader, 0)
    assert table.grow(200)
    assert reader.has_ended


def test_threads_are_freed_of_their_own_address() -> None:
    table = _Table()
    door, other = object(), object()
    first = table.add(1, other)
    second = table.add(1, door)
    table.now = 1
    third = table.add(900, door)
    table.now = 4
    assert table.memory.end_longest(door)
    ended = [reader.has_ended for _, reader in (first, second, third)]
    assert ended == [False, True, False]


def test_memory_of_dropped_responses_is_free() -> None:
    table = _Table()
    reader = table.add(900)[1]
    assert not table.memory.total
    table.now = 9
    assert not table.memory.end_longest(None)
    assert not reader.has_ended
