"""Guards against requests that are taken for each other."""

from __future__ import annotations

from typing import Any

import pytest

from apricotcart.gateway.api import ForwardedRequest
from apricotcart.gateway.fingerprint import fingerprint_of


def _message(**fields: Any) -> ForwardedRequest:
    base: dict[str, Any] = {
        'method': 'GET',
        'target': '/orders/7?full=1',
        'headers': [('Host', 'h'), ('Attempt-Id', 'x1')],
        'body': b'',
    }
    return ForwardedRequest(**{**base, **fields})


def test_fingerprint_ignores_what_changes_with_the_attempt() -> None:
    again = _message(
        headers=[('host', 'H'), ('Attempt-Id', 'x2'), ('Deadline-Ms', '70')],
    )
    assert fingerprint_of('guild', again) == fingerprint_of('guild', _message())


@pytest.mark.parametrize(
    'fields',
    [
        {'method': 'POST'},
        {'target': '/orders/7?full=0'},
        {'headers': [('Host', 'other')]},
        {'body': b'x'},
    ],
)
def test_fingerprint_distinguishes_requests(fields: dict[str, Any]) -> None:
    assert fingerprint_of('guild', _message(**fields)) != fingerprint_of(
        'guild', _message()
    )


def test_fingerprint_distinguishes_customers() -> None:
    """Guards against a customer whose request blocks that of another one."""
    assert fingerprint_of('a', _message()) != fingerprint_of('b', _message())


def test_fingerprint_separates_its_fields() -> None:
    """Guards against fields that only differ in where one ends."""
    first = _message(target='/a', body=b'bc')
    second = _message(target='/ab', body=b'c')
    assert fingerprint_of('', first) != fingerprint_of('', second)
