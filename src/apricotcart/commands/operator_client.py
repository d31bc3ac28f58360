"""Client of the control hosts' operator API."""

from __future__ import annotations

import json
import time
import uuid
from collections.abc import Iterator, Mapping
from contextlib import closing, suppress
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final, Self
from urllib.parse import quote, urlencode

import urllib3

from apricotcart.commands.answers import decode, is_retryable, leader_url
from apricotcart.errors.tree import SettingsError, UnavailableError

_CONNECT_TIMEOUT_S: Final = 2
_ANSWER_TIMEOUT_S: Final = 10
# A watch reconnects if it receives neither an event nor an empty line within
# this time, so that it survives a crash of its control host.
_WATCH_TIMEOUT_S: Final = 30
_RETRY_DELAY_S: Final = 0.2
_JSON: Final = 'application/json'
_WATCH_PATH: Final = '/v1/watch'


class OperatorClient:
    """Sends requests to the control host that is the leader.

    Parameters
    ----------
    addresses : sequence of str
        Base URLs of the control hosts.
    token : str
        Operator token.
    timeout_s : float
        Time for which a request is retried until a control host answers.
    ca : str or None
        File with the CA certificates of the control hosts.
    """

    __slots__ = (
        '_addresses',
        '_last_error',
        '_headers',
        '_pool',
        '_timeout_s',
    )

    def __init__(
        self,
        addresses: tuple[str, ...],
        token: str,
        timeout_s: float,
        ca: str | None = None,
    ) -> None:
        """Create the connection pool without connecting."""
        self._addresses = list(addresses)
        self._headers = {
            'Authorization': f'Bearer {token}',
            'Accept': _JSON,
            'Content-Type': _JSON,
        }
        self._last_error = 'no attempt was made'
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(ca_certs=ca, retries=False)

    @classmethod
    def from_token_file(
        cls,
        addresses: tuple[str, ...],
        token_file: str,
        timeout_s: float,
        ca: str | None = None,
    ) -> Self:
        """Create a client with the token from a file.

        Raises
        ------
        SettingsError
            If the file cannot be read or is empty.
        """
        try:
            token = Path(token_file).read_text('ascii').strip()
        except (OSError, UnicodeDecodeError) as exc:
            raise SettingsError(f'token file {token_file}: {exc}') from exc
        if not token:
            raise SettingsError(f'token file {token_file} is empty')
        return cls(addresses, token, timeout_s, ca)

    def read(self, path: str, **query: Any) -> Any:
        """Return the JSON document at a path."""
        return self._request('GET', _build_target(path, query), None)

    def list_resources(self, kind: str) -> list[dict[str, Any]]:
        """Return all resources of a kind."""
        document = self.read(resource_path(kind))
        resources: list[dict[str, Any]] = document['items']
        return resources

    def apply(self, changes: list[dict[str, Any]]) -> dict[str, Any]:
        """Apply several changes atomically.

        Every retry carries the same ``op_id``, so the changes are applied
        once even if an answer is lost.

        Raises
        ------
        InvalidResourceError
            If a change is invalid; nothing was changed.
        VersionConflictError
            If a resource has another version; nothing was changed.
        UnavailableError
            If no control host answered in time; the changes may have been
            applied.
        """
        body = {'op_id': new_op_id(), 'changes': changes}
        answer: dict[str, Any] = self._request('POST', '/v1/apply', body)
        return answer

    def delete(
        self, kind: str, name: str, expected_version: int | None
    ) -> dict[str, Any]:
        """Delete a resource; raise the same errors as ``apply``."""
        query: dict[str, Any] = {'op_id': new_op_id()}
        if expected_version is not None:
            query['expected_version'] = expected_version
        path = _build_target(resource_path(kind, name), query)
        answer: dict[str, Any] = self._request('DELETE', path, None)
        return answer

    def remove_member(self, node_id: str) -> Any:
        """Remove a permanently failed control host from the cluster."""
        body = {'kind': 'remove', 'node_id': node_id}
        return self._request('POST', '/v1/members', body)

    def watch(self, revision: int) -> Iterator[dict[str, Any]]:
        """Yield the events of one connection until it ends.

        Raises
        ------
        UnavailableError
            If no control host could be reached.
        """
        answer = self._open(
            'GET', _build_target(_WATCH_PATH, {'from': revision})
        )
        # The caller reconnects from the last revision that it received.
        with closing(answer), suppress(urllib3.exceptions.HTTPError):
            yield from _read_json_lines(answer)

    def _request(self, method: str, target: str, body: Any) -> Any:
        return decode(self._open(method, target, body))

    def _open(
        self, method: str, target: str, body: Any = None
    ) -> urllib3.BaseHTTPResponse:
        deadline_at = time.monotonic() + self._timeout_s
        while time.monotonic() < deadline_at:
            for address in tuple(self._addresses):
                remaining_s = deadline_at - time.monotonic()
                answer = self._try_address(
                    method, address, target, body, remaining_s
                )
                if answer is not None:
                    return answer
            time.sleep(_RETRY_DELAY_S)
        timeout = f'{self._timeout_s} s'
        raise UnavailableError(
            f'no control host answered in {timeout} (last: {self._last_error})',
        )

    def _try_address(
        self,
        method: str,
        address: str,
        target: str,
        body: Any,
        remaining_s: float,
    ) -> urllib3.BaseHTTPResponse | None:
        try:
            answer = self._send(method, f'{address}{target}', body, remaining_s)
        except urllib3.exceptions.HTTPError as exc:
            self._last_error = f'{address}: {type(exc).__name__}'
            return None
        if not is_retryable(answer):
            return answer
        self._last_error = f'{address}: answered with status {answer.status}'
        self._prefer_leader(address, answer)
        return None

    def _send(
        self, method: str, url: str, body: Any, remaining_s: float
    ) -> urllib3.BaseHTTPResponse:
        is_watch = _WATCH_PATH in url
        read_timeout_s = max(
            _RETRY_DELAY_S, min(_ANSWER_TIMEOUT_S, remaining_s)
        )
        return self._pool.request(
            method,
            url,
            headers=self._headers,
            body=None if body is None else json.dumps(body).encode(),
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_S,
                read=_WATCH_TIMEOUT_S if is_watch else read_timeout_s,
            ),
            preload_content=not is_watch,
            redirect=False,
        )

    def _prefer_leader(
        self, address: str, answer: urllib3.BaseHTTPResponse
    ) -> None:
        leader = leader_url(answer)
        # An answer must not redirect the token to a connection without TLS.
        scheme = address.partition(':')[0]
        if leader is None or leader.partition(':')[0] != scheme:
            return
        if leader in self._addresses:
            self._addresses.remove(leader)
        self._addresses.insert(0, leader)


def new_op_id() -> str:
    """Return a new operation id, which makes a retried change idempotent."""
    return uuid.uuid4().hex


def resource_path(kind: str, name: str | None = None) -> str:
    """Return the path of a resource or of the list of a kind."""
    parts = [kind] if name is None else [kind, name]
    quoted = '/'.join(quote(part, safe='') for part in parts)
    return f'/v1/resources/{quoted}'


def _build_target(path: str, query: Mapping[str, Any]) -> str:
    return f'{path}?{urlencode(query)}' if query else path


def _read_json_lines(
    answer: urllib3.BaseHTTPResponse,
) -> Iterator[dict[str, Any]]:
    if answer.status != HTTPStatus.OK:
        decode(answer)
    buffered = b''
    for chunk in answer.stream():
        *lines, buffered = (buffered + chunk).split(b'\n')
        for line in filter(None, lines):
            yield json.loads(line)
