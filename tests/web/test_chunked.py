"""Guards against chunked bodies that are misread."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotcart.web.chunked import ChunkedDecoder, ChunkedError

_REST = b'GET /next HTTP/1.1\r\n'
_chunks = st.lists(
    st.tuples(
        st.binary(min_size=1, max_size=40),
        st.sampled_from(['%x', '%X', '00%x']),
        st.sampled_from([b'', b';a=1', b' ;b="c"']),
    ),
    max_size=30,
)
_trailers = st.lists(st.sampled_from([b'A: b', b'Digest: x=']), max_size=2)


def _decode(wire: bytes, step: int) -> tuple[bytes, bytes, bool]:
    """Return the body, what follows it, and whether its end was decoded."""
    decoder = ChunkedDecoder()
    body, buffered = b'', b''
    for start in range(0, len(wire), step):
        buffered += wire[start : start + step]
        piece, used = decoder.decode(buffered)
        body += piece
        buffered = buffered[used:]
    return body, buffered, decoder.is_complete


@given(_chunks, _trailers, st.integers(1, 64))
def test_body_is_whole_or_known_not_to_be(
    chunks: list[tuple[bytes, str, bytes]], trailers: list[bytes], step: int
) -> None:
    """Guards against a cut-off body that looks complete, and against bytes of
    the next request in a body, however the bytes arrive.
    """
    wire = b''.join(
        (size % len(payload)).encode() + extension + b'\r\n' + payload + b'\r\n'
        for payload, size, extension in chunks
    )
    wire += b'0\r\n' + b''.join(line + b'\r\n' for line in trailers) + b'\r\n'
    payload = b''.join(payload for payload, _, _ in chunks)
    assert _decode(wire + _REST, step) == (payload, _REST, True)
    cut_off, _, is_complete = _decode(wire[:-1], step)
    assert not is_complete
    assert payload.startswith(cut_off)


@pytest.mark.parametrize(
    'wire',
    [
        b'-1\r\n',
        b'+5\r\nabcde\r\n',
        b'0x2\r\nab\r\n',
        b'1_0\r\n',
        b' 1\r\na\r\n',
        b'\r\n',
        b'2\nab\r\n',
        b'1\r\nab\r\n',
        b'1\r\na\n\n',
        b'0' * 5000,
        b'1;' + b'a' * 5000 + b'\r\n',
        b'0\r\n' + b'A: b\r\n' * 4000,
    ],
)
def test_invalid_framing_is_rejected(wire: bytes) -> None:
    """Guards against sizes that another host reads differently."""
    with pytest.raises(ChunkedError):
        _decode(wire, len(wire))


@given(st.integers(1, 15), st.integers(0, 200), st.binary(max_size=3))
def test_small_chunks_are_decoded_together(
    size: int, count: int, rest: bytes
) -> None:
    """Guards against the fast path for small chunks that mixes up bytes."""
    payload = bytes(number % 256 for number in range(size * count))
    wire = b''.join(
        b'%x\r\n%s\r\n' % (size, payload[start : start + size])
        for start in range(0, len(payload), size)
    )
    decoder = ChunkedDecoder()
    assert decoder.decode(wire) == (payload, len(wire))
    assert decoder.chunks <= 1
