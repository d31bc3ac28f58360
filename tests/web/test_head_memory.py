"""Guards against heads that are kept beyond the limit, or never counted off."""

from __future__ import annotations

from apricotcart.web.head_memory import HeadMemory
from apricotcart.web.request_head import RequestHead


def _head(size: int) -> RequestHead:
    head = RequestHead()
    head.add(b'x' * size, 1)
    return head


def test_oldest_heads_are_dropped_beyond_the_limit() -> None:
    memory = HeadMemory(100)
    first, second, third = (_head(size) for size in (50, 40, 30))
    for head in (first, second, third):
        memory.hold(head)
    assert [head.is_dropped for head in (first, second, third)] == [
        True,
        False,
        False,
    ]
    assert not first.received
    assert memory.total == 70


def test_head_that_grows_is_counted_once() -> None:
    memory = HeadMemory(100)
    head = _head(50)
    memory.hold(head)
    head.add(b'x' * 20, 1)
    memory.hold(head)
    assert memory.total == 70
    memory.release(head)
    memory.release(head)
    assert not memory.total


def test_single_head_may_exceed_the_limit() -> None:
    """Guards against a legal head that is refused in calm."""
    memory = HeadMemory(10)
    head = _head(50)
    memory.hold(head)
    assert not head.is_dropped
