"""HTTP client for the platform and engines that enforces send deadlines."""

from __future__ import annotations

import json
import logging
import socket
import struct
from http.client import HTTPException
from typing import TYPE_CHECKING, Any, TypeAlias

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.util import parse_url

from apricotcart.errors.tree import CodecError
from apricotcart.provisioning.api import EXPIRED, NO_ANSWER, STATUS_OK, Answer
from apricotcart.responses.strict_connections import StrictResponse
from apricotcart.timers.clock import boot_clock_s

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from urllib3.response import HTTPResponse

    from apricotcart.provisioning.api import Request

    Permit: TypeAlias = Callable[[float, Request], float | None]
    Clock: TypeAlias = Callable[[], float]
    _SocketOption: TypeAlias = tuple[int, int, int | bytes]

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024

_READ_BYTES = 65536
_MS_PER_S = 1000
# Closing the socket discards unsent bytes and resets the connection, so that
# no part of an abandoned request arrives after its deadline.
_RESET_ON_CLOSE = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack('ii', 1, 0),
)
_NO_DELAY = (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

_FAILURES = (
    urllib3.exceptions.HTTPError,
    CodecError,
    HTTPException,
    OSError,
    ValueError,
)

_log = logging.getLogger(__name__)


class PlatformClient:
    """Sends each request on a new connection.

    The connection is made first. Right before the request is written, the
    permit is called for the deadline. The kernel then drops the connection
    if the bytes are not acknowledged by the deadline, even while this
    process is frozen.

    Parameters
    ----------
    platform_url : str
        Base URL of the platform.
    permit : Callable
        Returns the deadline of a request, or None if it must not be sent,
        such as ``LeaderDuties.deadline_for``.
    clock : Callable
        Monotonic clock, in seconds.
    tls : ssl.SSLContext or None
        Context for ``https`` URLs.

    Attributes
    ----------
    late_sends : int
        Requests whose writing ended after their deadline.
    """

    __slots__ = ('_clock', '_permit', '_platform_url', '_tls', 'late_sends')

    def __init__(
        self,
        platform_url: str,
        permit: Permit,
        clock: Clock = boot_clock_s,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._platform_url = platform_url
        self._permit = permit
        self._clock = clock
        self._tls = tls
        self.late_sends = 0

    def send(self, request: Request) -> Answer:
        """Send a request and return its answer by the deadline.

        Network and decoding failures are not raised: they give an answer
        with status 0 and the code ``expired`` (not sent) or ``no_answer``
        (outcome unknown).
        """
        conn = self._connection(request.url or self._platform_url)
        try:
            return self._send_on(conn, request)
        except _FAILURES as exc:
            _log.info('%s %s failed: %s', request.method, request.path, exc)
            return Answer(code=NO_ANSWER)
        finally:
            conn.close()

    def _connection(self, url: str) -> HTTPConnection:
        conn = self._build_connection(url)
        conn.response_class = StrictResponse
        return conn

    def _build_connection(self, url: str) -> HTTPConnection:
        parts = parse_url(url)
        options: list[_SocketOption] = [_NO_DELAY, _RESET_ON_CLOSE]
        if parts.scheme == 'https':
            return HTTPSConnection(
                parts.host or '',
                parts.port,
                timeout=CONNECT_TIMEOUT_S,
                socket_options=options,
                ssl_context=self._tls,
            )
        return HTTPConnection(
            parts.host or '',
            parts.port,
            timeout=CONNECT_TIMEOUT_S,
            socket_options=options,
        )

    def _send_on(self, conn: HTTPConnection, request: Request) -> Answer:
        conn.connect()
        body = json.dumps(request.body) if request.method == 'POST' else None
        now = self._clock()
        deadline = self._permit(now, request)
        if deadline is None:
            return Answer(code=EXPIRED)
        _set_timeouts(conn, deadline - now)
        conn.request(
            request.method,
            request.path,
            body=body,
            headers={'Content-Type': 'application/json'},
            preload_content=False,
        )
        self._count_late_send(request, deadline)
        remaining_s = deadline - self._clock()
        if remaining_s <= 0:
            return Answer(code=NO_ANSWER)
        # The library applies it to the socket before it reads, and it limits
        # the whole answer, not each read.
        conn.timeout = remaining_s
        return self._read(conn.getresponse(), deadline)

    def _count_late_send(self, request: Request, deadline: float) -> None:
        late_s = self._clock() - deadline
        if late_s > 0:
            self.late_sends += 1
            _log.error(
                'request %s was written %.3f s after its deadline',
                request.path,
                late_s,
            )

    def _read(self, response: HTTPResponse, deadline: float) -> Answer:
        blob = b''
        for chunk in response.stream(_READ_BYTES):
            blob += chunk
            if len(blob) > MAX_ANSWER_BYTES or self._clock() > deadline:
                return Answer(code=NO_ANSWER)
        return _decode(response.status, blob)


def _set_timeouts(conn: HTTPConnection, remaining_s: float) -> None:
    sock = conn.sock
    sock.settimeout(remaining_s)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        max(int(remaining_s * _MS_PER_S), 1),
    )


def _decode(status: int, blob: bytes) -> Answer:
    fields: Any = json.loads(blob or b'{}')
    if not isinstance(fields, dict):
        raise CodecError('the answer is not a JSON object')
    refusal = fields.get('error')
    if status == STATUS_OK or not isinstance(refusal, dict):
        return Answer(status=status, body=fields)
    return Answer(
        status=status,
        body=fields,
        code=str(refusal.get('code', '')),
    )
