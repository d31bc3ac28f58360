"""Guards against heads that threads read too early, or never."""

from __future__ import annotations

import math

import pytest

from apricotcart.web.request_head import RequestHead

_HEAD = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


@pytest.mark.parametrize('size', [1, 2, 3, 7, len(_HEAD)])
def test_head_in_parts_is_complete_with_its_last_byte(size: int) -> None:
    head = RequestHead()
    for start in range(0, len(_HEAD), size):
        assert not head.is_complete
        head.add(_HEAD[start : start + size], start)
    assert head.is_complete
    assert bytes(head.received) == _HEAD


def test_deadline_is_that_of_the_first_byte() -> None:
    """Guards against clients who gain time with each byte."""
    head = RequestHead()
    head.add(b'', 1)
    assert math.isinf(head.ends_at)
    head.add(b'G', 2)
    head.add(b'E', 9)
    assert head.ends_at == 2


def test_malformed_head_is_complete_at_its_empty_line() -> None:
    """Guards against a head that is only refused at its deadline."""
    head = RequestHead()
    head.add(b'GET / HTTP/1.1\nHost: h\n\n', 1)
    assert head.is_complete
