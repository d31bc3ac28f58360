"""Tests of malformed, late and oversized requests."""

from __future__ import annotations

import io
from typing import Any

import pytest

from apricotcart.errors.tree import NOT_RUN
from apricotcart.web.errors import (
    BodyTooLargeError,
    IncompleteBodyError,
    InvalidJsonError,
    RequestTimeoutError,
)
from apricotcart.web.request import WebRequest


def _request(stream: Any, length: int | str, **environ: Any) -> WebRequest:
    fields = {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': '/',
        'CONTENT_LENGTH': str(length),
        'wsgi.input': stream,
    }
    return WebRequest({**fields, **environ})


class StalledStream(io.BytesIO):
    """Body that stops arriving."""

    def read(self, size: int | None = -1) -> bytes:
        """Raise the time-out of the server's reader."""
        raise TimeoutError('timed out')


def test_body_rejects_truncation() -> None:
    """Guards against a truncated body that is forwarded as complete."""
    req = _request(io.BytesIO(b'half'), 8)
    with pytest.raises(IncompleteBodyError) as caught:
        req.body(100)
    assert caught.value.run_state == NOT_RUN


def test_body_times_out() -> None:
    """Guards against an untyped error at the body deadline."""
    with pytest.raises(RequestTimeoutError):
        _request(StalledStream(), 8).body(100)


def test_body_rejects_excess_size() -> None:
    """Guards against unbounded memory, with and without Content-Length."""
    with pytest.raises(BodyTooLargeError):
        _request(io.BytesIO(b'x' * 9), 9).body(8)
    chunked = {'HTTP_TRANSFER_ENCODING': 'chunked'}
    with pytest.raises(BodyTooLargeError):
        _request(io.BytesIO(b'x' * 9), '', **chunked).body(8)
    assert _request(io.BytesIO(b'x' * 8), '', **chunked).body(8) == b'x' * 8


@pytest.mark.parametrize('body', [b'', b'{', b'[1]', b'\xff'])
def test_json_must_be_an_object(body: bytes) -> None:
    """Guards against an untyped error for a body that is not a JSON object."""
    with pytest.raises(InvalidJsonError):
        _request(io.BytesIO(body), len(body)).json(100)


def test_raw_path_keeps_encoding() -> None:
    """Guards against a decoded question mark that starts a query."""
    uri = '/v1/services/dies/a%3Fb%2Fc?x=1'
    assert _request(None, 0, REQUEST_URI=uri).raw_path() == uri[:-4]
    assert _request(None, 0, PATH_INFO='/a b').raw_path() == '/a%20b'
