"""HTTP client of the platform's API."""

from __future__ import annotations

import ipaddress
import logging
import math
import re
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from typing import Any, Final

import orjson
import urllib3

from apricotcart.endpoints.instances import Instance
from apricotcart.errors.tree import ApricotcartError
from apricotcart.observability.decisions import (
    FIGURE_IGNORED,
    log_decision,
)
from apricotcart.platform.fields import FieldReader
from apricotcart.platform.instance_pages import InstancePage
from apricotcart.platform.notices import MAX_COLD_S
from apricotcart.provisioning.fleet_api import (
    EndpointOrder,
    FencedCall,
    FleetPlatform,
    PlatformUnavailableError,
    StaleFencingError,
)
from apricotcart.responses.strict_connections import strict_pools
from apricotcart.responses.whole import read_whole

_LOG = logging.getLogger(__name__)
_MS_PER_S: Final = 1000
_MAX_PAGES: Final = 400
# A page has some hundred entries of some hundred bytes.
_MAX_ANSWER_BYTES: Final = 4_194_304
_COLD_MS: Final = 'warmup_left_ms'
_INSTANCE_STATES: Final = ('ready', 'draining')
_JSON: Final = 'application/json'
_ID: Final = re.compile('[!-~]{1,200}')
_PORT: Final = re.compile('[0-9]{1,5}')
_MAX_PORT: Final = 65_535
_MAX_SLOTS: Final = 100_000


class PlatformClient(FleetPlatform):
    """Calls the platform over HTTP.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the API.
    timeout_s : float
        Time limit of connecting, and of the whole answer, in seconds.
    """

    __slots__ = ('_base_url', '_pool', '_timeout_s')

    def __init__(self, address: str, timeout_s: float) -> None:
        """Create the connection pool."""
        self._base_url = f'http://{address}'
        self._timeout_s = timeout_s
        self._pool = strict_pools(maxsize=2)

    def instances(self) -> list[Instance]:
        """Fetch all pages of the list of endpoints."""
        instances: list[Instance] = []
        page_token = ''
        for _ in range(_MAX_PAGES):
            query = f'?page_token={page_token}' if page_token else ''
            page = InstancePage.from_json(self._get(f'/instances{query}'))
            instances.extend(_parse_instances(page.entries))
            page_token = page.next_token
            if not page_token:
                break
        return instances

    def order(self, call: FencedCall, order: EndpointOrder) -> bool:
        """Order endpoints and return whether the platform accepts it."""
        body: dict[str, Any] = {
            'service': order.service,
            'zone': order.zone,
            'desired': order.count,
        }
        if order.is_spot:
            body['spot'] = True
        status, answer = self._post('/scale', call, body)
        if status == HTTPStatus.CONFLICT and b'fence' in answer.lower():
            raise StaleFencingError(
                'the platform has seen a higher fencing token'
            )
        return status == HTTPStatus.OK

    def report(
        self,
        call: FencedCall,
        window: int,
        counts: Mapping[str, int],
    ) -> None:
        """Report the requests of each customer in a window."""
        body = {'window_id': window, 'counts': dict(counts)}
        status, _ = self._post('/usage', call, body)
        if status == HTTPStatus.CONFLICT:
            raise StaleFencingError(
                'the platform has seen a higher fencing token'
            )
        if status != HTTPStatus.OK:
            raise PlatformUnavailableError(
                f'usage report: expected status 200, got {status}'
            )

    def _get(self, path: str) -> bytes:
        status, body = self._call('GET', path, {}, None)
        if status != HTTPStatus.OK:
            raise PlatformUnavailableError(
                f'{path}: expected status 200, got {status}'
            )
        return body

    def _post(
        self,
        path: str,
        call: FencedCall,
        body: Mapping[str, Any],
    ) -> tuple[int, bytes]:
        headers = {
            'Content-Type': _JSON,
            'Duty-Holder': call.holder,
            'Fencing-Token': str(call.token),
        }
        status, answer = self._call('POST', path, headers, orjson.dumps(body))
        is_failure = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure or status == HTTPStatus.TOO_MANY_REQUESTS:
            raise PlatformUnavailableError(
                f'{path}: server error or rate limit, status {status}'
            )
        return status, answer

    def _call(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
    ) -> tuple[int, bytes]:
        try:
            answer = self._pool.request(
                method,
                self._base_url + path,
                body=body,
                headers=headers,
                timeout=self._timeout_s,
                redirect=False,
                preload_content=False,
            )
            return answer.status, read_whole(answer, _MAX_ANSWER_BYTES)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            raise PlatformUnavailableError(f'{path}: {exc}') from exc


def _parse_instances(entries: Sequence[Any]) -> Sequence[Instance]:
    instances = []
    for entry in entries:
        try:
            instances.append(_parse_instance(entry))
        except ApricotcartError as exc:
            _LOG.warning(
                'skipped a malformed endpoint of the list: %s', exc.message
            )
    return instances


def _parse_instance(entry: Any) -> Instance:
    reader = FieldReader(entry, 'instance')
    state = reader.text('state')
    if state not in _INSTANCE_STATES:
        reader.add_fault('state', f'{state!r} is neither ready nor draining')
    # Time until the platform stops a reclaimed endpoint; absent for others.
    leaves_ms = reader.number('leaves_ms', -1)
    instance = Instance(
        instance_id=reader.text('id'),
        # In milliseconds, although the field's name has no unit.
        born_ms=reader.integer('born', 0),
        service=reader.text('service'),
        address=reader.text('address'),
        zone=reader.text('zone'),
        slots=reader.integer('slots', 1),
        is_ready=state == 'ready',
        warmup_s=_cold_s(entry),
        is_spot=reader.flag('spot'),
        leaves_s=None if leaves_ms < 0 else leaves_ms / _MS_PER_S,
        software_version=reader.text('version'),
    )
    _check_instance(reader, instance)
    if reader.faults:
        raise PlatformUnavailableError('; '.join(reader.faults))
    return instance


def _cold_s(entry: Any) -> float:
    """Return the time for which an endpoint is cold, 0 if it is unreadable.

    The endpoint can be used without it, so the entry stays valid.
    """
    cold_ms = entry.get(_COLD_MS) if isinstance(entry, dict) else None
    if cold_ms is None:
        return 0
    is_number = isinstance(cold_ms, (int, float)) and not isinstance(
        cold_ms, bool
    )
    if not is_number or not math.isfinite(cold_ms) or cold_ms < 0:
        log_decision(FIGURE_IGNORED, kind=_COLD_MS)
        return 0
    return float(min(cold_ms / _MS_PER_S, MAX_COLD_S))


def _check_instance(reader: FieldReader, instance: Instance) -> None:
    # The id is sent in a header.
    if _ID.fullmatch(instance.instance_id) is None:
        reader.add_fault('id', 'has no characters, too many or unusual ones')
    if not _is_address(instance.address):
        reader.add_fault('address', 'is not of the form IP:PORT')
    if not 0 < instance.slots <= _MAX_SLOTS:
        reader.add_fault('slots', f'is not between 1 and {_MAX_SLOTS}')


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    if _PORT.fullmatch(port) is None:
        return False
    if not 0 < int(port) <= _MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
