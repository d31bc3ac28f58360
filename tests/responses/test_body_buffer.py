"""Guards against bodies that change while they are kept."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotcart.responses.body_buffer import BodyBuffer
from apricotcart.responses.memory import ResponseMemory, ResponseMemoryError

_LIMIT_BYTES = 2_097_152


@given(sizes=st.lists(st.integers(1, 300_000), max_size=6))
def test_body_is_delivered_as_it_was_received(sizes: list[int]) -> None:
    body = BodyBuffer(ResponseMemory().hold())
    chunks = [bytes([number % 251]) * size for number, size in enumerate(sizes)]
    for chunk in chunks:
        body.append(chunk)
    assert body.size == sum(sizes)
    assert b''.join(body) == b''.join(chunks)
    assert b''.join(body) == b''.join(chunks)


def test_many_small_chunks_take_little_more_than_their_bytes() -> None:
    body = BodyBuffer(ResponseMemory().hold())
    for _ in range(200_000):
        body.append(b'a')
    assert b''.join(body) == b'a' * 200_000
    assert len(list(body)) < 10


def test_body_over_the_limit_of_all_responses_is_rejected() -> None:
    memory = ResponseMemory(_LIMIT_BYTES)
    body = BodyBuffer(memory.hold())
    body.append(b'a' * _LIMIT_BYTES)
    with pytest.raises(ResponseMemoryError):
        BodyBuffer(memory.hold()).append(b'a' * _LIMIT_BYTES)
