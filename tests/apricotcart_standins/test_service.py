"""Tests of the service stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import urllib3
from standin_calls import HTTP, call

if TYPE_CHECKING:
    from standin_calls import ServeFixture


def test_service_counts_orders(serve: ServeFixture) -> None:
    """Guards against an order that is run twice but counted once."""
    url = serve('service')
    for _ in range(2):
        HTTP.request('POST', f'{url}/a', headers={'X-Order-Key': 'k'})
    echo = HTTP.request('PUT', f'{url}/b', body=b'text')
    assert echo.data == b'text'
    assert call('GET', f'{url}/counts') == {'counts': {'k': 2}, 'calls': 3}


@pytest.mark.parametrize(
    ('fault', 'counted'),
    [('fail_before', {}), ('fail_after', {'k': 1})],
)
def test_service_fails(
    serve: ServeFixture,
    fault: str,
    counted: dict[str, int],
) -> None:
    """Guards against a connection fault on the wrong side of the count."""
    url = serve('service')
    call('POST', f'{url}/fault', {fault: True, 'count': 1})
    with pytest.raises(urllib3.exceptions.HTTPError):
        HTTP.request('POST', f'{url}/a', headers={'X-Order-Key': 'k'})
    assert call('GET', f'{url}/counts')['counts'] == counted


def test_service_truncates(serve: ServeFixture) -> None:
    """Guards against a truncated answer that looks complete."""
    url = serve('service')
    call('POST', f'{url}/fault', {'truncate': 2})
    with pytest.raises(urllib3.exceptions.HTTPError):
        HTTP.request('POST', f'{url}/a', body=b'text')
