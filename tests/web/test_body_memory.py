"""Guards against bodies that hold too much, or that give way too early."""

from __future__ import annotations

import gc
import weakref

import pytest

from apricotcart.errors.tree import NOT_RUN
from apricotcart.web.body_buffer import RequestBody
from apricotcart.web.body_memory import (
    UNCOUNTED_BYTES,
    BodyMemory,
    BodyMemoryError,
    BodyPlace,
)

_LIMIT = 1_000_000
_GRACE_S = 2.0
_HALF = b'x' * (_LIMIT // 2)


class Clock:
    """Time that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    """Return a clock that stands still."""
    return Clock()


@pytest.fixture
def memory() -> BodyMemory:
    """Return a memory for two large bodies, of which two may wait."""
    return BodyMemory(_LIMIT, _GRACE_S, 2)


def _arriving(
    memory: BodyMemory, clock: Clock, part: bytes
) -> tuple[BodyPlace, RequestBody]:
    place = BodyPlace(memory)
    place.wait(clock())
    body = RequestBody(place, clock)
    body.append(part)
    return place, body


def test_stalled_body_gives_way_to_new_ones(
    memory: BodyMemory, clock: Clock
) -> None:
    """Guards against callers that hold the memory as long as they like.

    Their bytes are dropped before their thread looks for the next ones.
    """
    place, stalled = _arriving(memory, clock, _HALF)
    clock.now += _GRACE_S + 1
    block = weakref.ref(stalled._block)
    _arriving(memory, clock, _HALF)[1].append(_HALF[UNCOUNTED_BYTES:])
    assert block() is None
    with pytest.raises(BodyMemoryError) as caught:
        place.wait(clock())
    assert caught.value.run_state == NOT_RUN
    assert caught.value.http_status == 503
    assert caught.value.retry_after_s
    with pytest.raises(BodyMemoryError):
        stalled.finish()


def test_new_body_is_refused_while_others_arrive_in_time(
    memory: BodyMemory, clock: Clock
) -> None:
    """Guards against new bodies that keep all others from their end."""
    bodies = [_arriving(memory, clock, _HALF)[1] for _ in range(2)]
    late = RequestBody(BodyPlace(memory), clock)
    late.append(_HALF[:UNCOUNTED_BYTES])
    with pytest.raises(BodyMemoryError):
        late.append(_HALF)
    assert [body.finish() for body in bodies] == [_HALF, _HALF]


def test_complete_body_counts_until_its_last_reference_ends(
    memory: BodyMemory, clock: Clock
) -> None:
    """Guards against memory that is counted too short or for ever."""
    body = RequestBody(BodyPlace(memory), clock)
    body.append(_HALF)
    view = body.finish()
    body = RequestBody(BodyPlace(memory), clock)
    gc.collect()
    assert memory.total == len(_HALF) - UNCOUNTED_BYTES
    assert view == _HALF
    view = b''
    gc.collect()
    assert memory.total == 0


def test_body_alone_may_exceed_the_limit(
    memory: BodyMemory, clock: Clock
) -> None:
    """Guards against a legal request that is never served."""
    body = RequestBody(BodyPlace(memory), clock)
    for _ in range(5):
        body.append(_HALF)
    assert body.finish() == _HALF * 5


def test_oldest_incomplete_body_gives_way(
    memory: BodyMemory, clock: Clock
) -> None:
    """Guards against bodies that stay and take all threads."""
    oldest = BodyPlace(memory)
    oldest.wait(clock())
    for _ in range(2):
        clock.now += _GRACE_S
        BodyPlace(memory).wait(clock())
    with pytest.raises(BodyMemoryError):
        oldest.wait(clock())
