"""Failures of requests that arrive broken."""

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


class LateStream(io.BytesIO):
    """A body that stops arriving."""

    def read(self, size: int | None = -1) -> bytes:
        """Time out as the server's reader does."""
        raise TimeoutError('timed out')


def test_body_cut_short_is_refused() -> None:
    """Guards against half an order that is sent on as a whole one."""
    req = _request(io.BytesIO(b'half'), 8)
    with pytest.raises(IncompleteBodyError) as caught:
        req.body(100)
    assert caught.value.run_state == NOT_RUN


def test_body_too_late_is_refused() -> None:
    """Guards against a body deadline that ends in an untyped failure."""
    with pytest.raises(RequestTimeoutError):
        _request(LateStream(), 8).body(100)


def test_body_too_large_is_refused() -> None:
    """Guards against unbounded memory, with and without a length."""
    with pytest.raises(BodyTooLargeError):
        _request(io.BytesIO(b'x' * 9), 9).body(8)
    chunked = {'HTTP_TRANSFER_ENCODING': 'chunked'}
    with pytest.raises(BodyTooLargeError):
        _request(io.BytesIO(b'x' * 9), '', **chunked).body(8)
    assert _request(io.BytesIO(b'x' * 8), '', **chunked).body(8) == b'x' * 8


@pytest.mark.parametrize('body', [b'', b'{', b'[1]', b'\xff'])
def test_json_must_be_an_object(body: bytes) -> None:
    """Guards against an untyped failure on a body that is no JSON object."""
    with pytest.raises(InvalidJsonError):
        _request(io.BytesIO(body), len(body)).json(100)


def test_raw_path_keeps_encoding() -> None:
    """Guards against a decoded question mark that becomes a query."""
    uri = '/v1/services/dies/a%3Fb%2Fc?x=1'
    assert _request(None, 0, REQUEST_URI=uri).raw_path() == uri[:-4]
    assert _request(None, 0, PATH_INFO='/a b').raw_path() == '/a%20b'
