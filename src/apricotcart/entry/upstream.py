"""Calls to endpoints with urllib3."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from typing import NoReturn

import urllib3
from urllib3 import exceptions as failures

from apricotcart.entry.errors import (
    EndpointCrashedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    MismatchedAnswerError,
)

REQUEST_ID = 'X-Request-Id'
_CONNECT_TIMEOUT_S = 1.0
_READ_BYTES = 65_536
_POOLS = 512
_UNREACHABLE = (
    failures.NewConnectionError,
    failures.ConnectTimeoutError,
    failures.NameResolutionError,
)


class UpstreamCall:
    """What is sent to an endpoint.

    Parameters
    ----------
    method, url : str
        Method and full URL.
    headers : dict of str to str
        Headers on the allowlist only; never the caller's key.
    body : bytes
        The body.
    request_id : str
        Id that the answer must carry.
    read_timeout_s : float
        Longest silence of the endpoint in seconds.
    """

    __slots__ = (
        'body',
        'headers',
        'method',
        'read_timeout_s',
        'request_id',
        'url',
    )

    def __init__(
        self,
        *,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
        request_id: str,
        read_timeout_s: float,
    ) -> None:
        """Keep the parts."""
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.read_timeout_s = read_timeout_s


class UpstreamAnswer:
    """Answer of an endpoint whose body is read as it comes."""

    __slots__ = ('_aborted', '_response', 'content_type', 'status')

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        """Keep the response."""
        self._response = response
        self._aborted = threading.Event()
        self.status = response.status
        self.content_type = response.headers.get('Content-Type', '')

    def chunks(self) -> Iterator[bytes]:
        """Read the body as it arrives.

        Raises
        ------
        EndpointCrashedError
            If the connection breaks before the end of the body.
        EndpointTimeoutError
            If the endpoint is silent for too long.
        """
        while True:
            try:
                chunk = self._response.read1(_READ_BYTES)
            except (failures.HTTPError, OSError) as exc:
                self.close()
                _raise_broken(exc)
            if not chunk:
                self._require_whole()
                return
            yield chunk

    def read(self, max_bytes: int) -> bytes:
        """Read the whole body.

        Raises
        ------
        EndpointCrashedError
            If the body is cut short or larger than ``max_bytes``.
        """
        parts = []
        size = 0
        for chunk in self.chunks():
            size += len(chunk)
            if size > max_bytes:
                self.close()
                raise EndpointCrashedError('the answer is too large')
            parts.append(chunk)
        return b''.join(parts)

    def release(self) -> None:
        """Give the connection back; close it if the body was not read.

        A stream ends for us at its end marker, before the last bytes of the
        body. The next request on such a connection would be sent and then
        fail for want of an answer.
        """
        if self._response.closed:
            self._response.release_conn()
        else:
            self.close()

    def close(self) -> None:
        """Close the connection; unread bytes are lost."""
        self._response.close()

    def abort(self) -> None:
        """End a read of another thread."""
        if not self._aborted.is_set():
            self._aborted.set()
            _shutdown(self._response)

    def _require_whole(self) -> None:
        # The end of a body without a length looks like a closed connection.
        if self._aborted.is_set():
            self.close()
            raise EndpointCrashedError('the read was ended by this host')


class Upstream:
    """Connections to the endpoints.

    Parameters
    ----------
    connections : int
        Idle connections kept for each endpoint.
    """

    __slots__ = ('_pools',)

    def __init__(self, connections: int) -> None:
        """Prepare the connection pools."""
        self._pools = urllib3.PoolManager(
            num_pools=_POOLS,
            maxsize=connections,
            block=False,
            retries=False,
        )

    def send(
        self, call: UpstreamCall, *, fresh: bool = False
    ) -> UpstreamAnswer:
        """Send a call and give the answer once its headers are there.

        Parameters
        ----------
        call : UpstreamCall
            What to send.
        fresh : bool
            Ask the endpoint to close the connection afterwards, and never
            use one that was idle. An idle connection may be closed by the
            endpoint while the request leaves, which makes the outcome of a
            non-idempotent request unknown without need.

        Raises
        ------
        EndpointUnreachableError
            If no connection was made; nothing was sent.
        EndpointError
            If the request may have left.
        """
        try:
            response = self._request(call, fresh=fresh)
        except _UNREACHABLE as exc:
            raise EndpointUnreachableError(str(exc)) from exc
        except (failures.HTTPError, OSError) as exc:
            _raise_broken(exc)
        return _checked(response, call)

    def _request(
        self,
        call: UpstreamCall,
        *,
        fresh: bool,
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(
            connect=_CONNECT_TIMEOUT_S,
            read=call.read_timeout_s,
        )
        pools = urllib3.PoolManager(retries=False) if fresh else self._pools
        headers = dict(call.headers)
        if fresh:
            headers['Connection'] = 'close'
        return pools.request(
            call.method,
            call.url,
            body=call.body,
            headers=headers,
            timeout=timeout,
            preload_content=False,
            redirect=False,
            decode_content=False,
        )


def _checked(
    response: urllib3.BaseHTTPResponse,
    call: UpstreamCall,
) -> UpstreamAnswer:
    answer = UpstreamAnswer(response)
    returned = response.headers.get(REQUEST_ID)
    if returned is not None and returned != call.request_id:
        answer.close()
        raise MismatchedAnswerError('the answer belongs to another request')
    return answer


def _raise_broken(exc: Exception) -> NoReturn:
    if isinstance(exc, (failures.TimeoutError, TimeoutError)):
        raise EndpointTimeoutError(str(exc)) from exc
    raise EndpointCrashedError(str(exc)) from exc


def _shutdown(response: urllib3.BaseHTTPResponse) -> None:
    try:
        response.shutdown()
    except (ValueError, OSError, RuntimeError):
        response.close()
