"""Guards against resuming a stream in the middle of an event."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from apricotcart.gateway.exchanges.event_buffer import EventBuffer


def test_feed_buffers_incomplete_event() -> None:
    splitter = EventBuffer()
    assert splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda') == (
        b'id: 1\ndata: a\n\n'
    )
    assert splitter.last_id == '1'
    assert splitter.feed(b'ta: b\n\n') == b'id: 2\ndata: b\n\n'
    assert splitter.last_id == '2'
    assert not splitter.has_partial


def test_discard_partial_drops_incomplete_event() -> None:
    splitter = EventBuffer()
    splitter.feed(b'id: 1\n\nid: 2\nhalf')
    splitter.discard_partial()
    assert splitter.feed(b'id: 2\n\n') == b'id: 2\n\n'


def test_id_in_data_field_is_ignored() -> None:
    splitter = EventBuffer()
    splitter.feed(b'id: 7\ndata: id: 9\n\n')
    assert splitter.last_id == '7'


@given(st.lists(st.integers(min_value=1, max_value=9), max_size=30))
def test_feed_returns_same_stream_for_any_chunk_sizes(sizes: list[int]) -> None:
    stream = b''.join(b'id: %d\r\ndata: x\r\n\r\n' % i for i in range(5))
    splitter = EventBuffer()
    received = b''
    position = 0
    sizes.append(len(stream))
    for size in sizes:
        received += splitter.feed(stream[position : position + size])
        position += size
    assert received == stream
    assert not splitter.has_partial
    assert splitter.last_id == '4'
