"""Tests of the relay stand-in."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest
import urllib3
from standin_calls import HTTP, call

if TYPE_CHECKING:
    from standin_calls import ServeFixture

SHORT_TIMEOUT_S = 0.3


@pytest.fixture
def relay(serve: ServeFixture) -> tuple[str, str]:
    """Return the control URL of a relay and the URL it relays."""
    target = serve('service')
    control = serve('relay', '--target', target.removeprefix('http://'))
    port = call('GET', f'{control}/relay')['port']
    return f'{control}/relay', f'http://127.0.0.1:{port}'


def test_relay_delays(relay: tuple[str, str]) -> None:
    """Guards against a delay that is not applied."""
    control, url = relay
    call('POST', control, {'delay_s': 0.1})
    started = time.monotonic()
    assert HTTP.request('POST', url, body=b'text').data == b'text'
    round_trip_s = 0.2
    assert time.monotonic() - started >= round_trip_s


@pytest.mark.parametrize(('cut', 'calls'), [('up', 0), ('down', 1)])
def test_relay_cuts_one_way(
    serve: ServeFixture,
    cut: str,
    calls: int,
) -> None:
    """Guards against a one-way cut that blocks the other direction."""
    target = serve('service')
    control = serve('relay', '--target', target.removeprefix('http://'))
    port = call('GET', f'{control}/relay')['port']
    call('POST', f'{control}/relay', {'cut': cut})
    with pytest.raises(urllib3.exceptions.HTTPError):
        HTTP.request(
            'GET', f'http://127.0.0.1:{port}/', timeout=SHORT_TIMEOUT_S
        )
    while call('GET', f'{target}/counts')['calls'] < calls:
        time.sleep(0.01)
    assert call('GET', f'{target}/counts')['calls'] == calls


def test_relay_recovers_from_cut(relay: tuple[str, str]) -> None:
    """Guards against a relay that stays cut after a partition ends."""
    control, url = relay
    call('POST', control, {'cut': 'both'})
    with pytest.raises(urllib3.exceptions.HTTPError):
        HTTP.request('GET', url, timeout=SHORT_TIMEOUT_S)
    call('POST', control, {'cut': ''})
    assert HTTP.request('POST', url, body=b'text').data == b'text'


def test_relay_refuses(relay: tuple[str, str]) -> None:
    """Guards against a refusing relay that lets connections through."""
    control, url = relay
    call('POST', control, {'refuse': True, 'drop': True})
    with pytest.raises(urllib3.exceptions.HTTPError):
        HTTP.request('GET', url)
