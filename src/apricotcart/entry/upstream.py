"""HTTP calls to endpoints, made with urllib3."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from typing import NoReturn

import urllib3
from urllib3 import exceptions as urllib3_errors

from apricotcart.entry.errors import (
    EndpointCrashedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    MismatchedAnswerError,
)
from apricotcart.responses.framing import FramingError
from apricotcart.responses.memory import (
    HeldBytes,
    ResponseMemory,
    ResponseMemoryError,
)
from apricotcart.responses.strict_connections import strict_pools
from apricotcart.timers.clock import boot_clock_s

REQUEST_ID = 'X-Request-Id'
_CONNECT_TIMEOUT_S = 1.0
_READ_SIZE_BYTES = 65_536
_MAX_POOLS = 512
_CONNECT_ERRORS = (
    urllib3_errors.NewConnectionError,
    urllib3_errors.ConnectTimeoutError,
    urllib3_errors.NameResolutionError,
)


class UpstreamCall:
    """A request to an endpoint.

    Parameters
    ----------
    method, url : str
        Method and full URL.
    headers : dict of str to str
        Allowlisted headers only, never the caller's key.
    body : bytes
        Request body.
    request_id : str
        Id that the answer must return.
    read_timeout_s : float
        Longest time without data from the endpoint, in seconds.
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
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.read_timeout_s = read_timeout_s


class UpstreamAnswer:
    """Answer of an endpoint, with a body that is read incrementally.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        Response whose headers have been read.
    held : HeldBytes
        What the answer holds in memory.
    timeout_s : float
        Time limit of an answer that is read as a whole, in seconds.
    """

    __slots__ = (
        '_aborted',
        '_held',
        '_response',
        '_timeout_s',
        'content_type',
        'status',
    )

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        held: HeldBytes,
        timeout_s: float,
    ) -> None:
        self._response = response
        self._held = held
        self._timeout_s = timeout_s
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
            If the endpoint sends nothing within the read timeout.
        """
        while True:
            try:
                chunk = self._response.read1(_READ_SIZE_BYTES)
            except (urllib3_errors.HTTPError, OSError, FramingError) as exc:
                self.close()
                _raise_endpoint_error(exc)
            if not chunk:
                self._require_not_aborted()
                return
            yield chunk

    def read(self, max_bytes: int) -> bytes:
        """Read the whole body.

        Raises
        ------
        EndpointCrashedError
            If the body is truncated or larger than ``max_bytes``, or if all
            answers together hold too much memory.
        EndpointTimeoutError
            If the body is not complete in time, whatever its content type.
        """
        ends_at = boot_clock_s() + self._timeout_s
        parts = []
        size = 0
        for chunk in self.chunks():
            size += len(chunk)
            if size > max_bytes:
                self.close()
                raise EndpointCrashedError(
                    'the answer exceeds the maximum size'
                )
            self._hold(size)
            parts.append(chunk)
            if boot_clock_s() > ends_at:
                self.close()
                raise EndpointTimeoutError('the answer has no end')
        return b''.join(parts)

    def release(self) -> None:
        """Return the connection to its pool, or close it if bytes are unread.

        A stream is read only up to its end marker, before the last bytes of
        the body. The next request on such a connection would be sent, but
        its answer could not be read.
        """
        if self._response.closed:
            self._response.release_conn()
        else:
            self.close()

    def close(self) -> None:
        """Close the connection and discard unread bytes."""
        self._response.close()

    def abort(self) -> None:
        """Interrupt a read in another thread."""
        if not self._aborted.is_set():
            self._aborted.set()
            _shutdown(self._response)

    def _hold(self, size: int) -> None:
        try:
            self._held.resize(size)
        except ResponseMemoryError as exc:
            self.close()
            raise EndpointCrashedError(str(exc)) from exc

    def _require_not_aborted(self) -> None:
        # For a body without a length, an interrupted read looks like its end.
        if self._aborted.is_set():
            self.close()
            raise EndpointCrashedError('the read was aborted by this host')


class Upstream:
    """Pools of connections to the endpoints.

    Parameters
    ----------
    connections : int
        Maximum number of idle connections kept per endpoint.
    memory : ResponseMemory or None
        Limits what all answers hold together; a new one if None.
    """

    __slots__ = ('_memory', '_pools')

    def __init__(
        self, connections: int, memory: ResponseMemory | None = None
    ) -> None:
        self._memory = memory or ResponseMemory()
        self._pools = strict_pools(
            num_pools=_MAX_POOLS,
            maxsize=connections,
            block=False,
        )

    def send(
        self, call: UpstreamCall, *, fresh: bool = False
    ) -> UpstreamAnswer:
        """Send a call and return the answer once its headers have arrived.

        Parameters
        ----------
        call : UpstreamCall
            What to send.
        fresh : bool
            Use a new connection and ask the endpoint to close it afterwards.
            An endpoint may close an idle connection while a request is being
            sent on it, which would needlessly make the outcome of a
            non-idempotent request unknown.

        Raises
        ------
        EndpointUnreachableError
            If no connection was established; nothing was sent.
        EndpointError
            If the request may have been sent.
        """
        try:
            response = self._request(call, fresh=fresh)
        except _CONNECT_ERRORS as exc:
            raise EndpointUnreachableError(str(exc)) from exc
        except (urllib3_errors.HTTPError, OSError, FramingError) as exc:
            _raise_endpoint_error(exc)
        answer = UpstreamAnswer(
            response, self._memory.hold(), call.read_timeout_s
        )
        _require_match(answer, response, call)
        return answer

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
        pools = strict_pools() if fresh else self._pools
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


def _require_match(
    answer: UpstreamAnswer,
    response: urllib3.BaseHTTPResponse,
    call: UpstreamCall,
) -> None:
    returned = response.headers.get(REQUEST_ID)
    if returned is not None and returned != call.request_id:
        answer.close()
        raise MismatchedAnswerError('the answer has the id of another request')


def _raise_endpoint_error(exc: Exception) -> NoReturn:
    if isinstance(exc, (urllib3_errors.TimeoutError, TimeoutError)):
        raise EndpointTimeoutError(str(exc)) from exc
    raise EndpointCrashedError(str(exc)) from exc


def _shutdown(response: urllib3.BaseHTTPResponse) -> None:
    try:
        response.shutdown()
    except (ValueError, OSError, RuntimeError):
        response.close()
