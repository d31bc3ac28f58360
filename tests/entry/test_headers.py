"""Tests of the headers sent to endpoints."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from apricotcart.entry.headers import endpoint_headers
from apricotcart.web.request import WebRequest

SECRET = 'a-callers-key'
Chosen = Callable[[WebRequest, str], dict[str, str]]


def _forward_unknown(req: WebRequest, request_id: str) -> dict[str, str]:
    """Naive variant: remove only the header that is known to hold a key."""
    return {
        name: str(text)
        for name, text in req.environ.items()
        if name.startswith('HTTP_') and name != 'HTTP_AUTHORIZATION'
    }


@pytest.mark.parametrize(
    ('choose', 'leaks'),
    [(endpoint_headers, False), (_forward_unknown, True)],
)
def test_endpoint_headers_hold_no_key(choose: Chosen, leaks: bool) -> None:
    """Guards against leaking a key that the caller sent in another header."""
    req = WebRequest(
        {
            'REQUEST_METHOD': 'POST',
            'CONTENT_TYPE': 'application/json',
            'HTTP_AUTHORIZATION': f'Bearer {SECRET}',
            'HTTP_COOKIE': f'key={SECRET}',
            'HTTP_X_API_KEY': SECRET,
            'HTTP_X_FORWARDED_AUTHORIZATION': f'Bearer {SECRET}',
            'HTTP_X_ORDER_KEY': SECRET,
            'HTTP_X_PRIORITY': SECRET,
        }
    )
    assert (SECRET in str(choose(req, 'r1'))) == leaks
