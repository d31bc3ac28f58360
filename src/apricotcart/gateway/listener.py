"""HTTP server for callers: strict framing, raw headers, thread growth."""

from __future__ import annotations

import logging
import re
from collections.abc import Sequence
from typing import Any, Final

from cheroot.server import HeaderReader
from cheroot.workers.threadpool import ThreadPool

from apricotcart.web.answering import ConnectionGateway
from apricotcart.web.deadlines import DeadlineConnection, DeadlineRequest
from apricotcart.web.errors import HeadTooLargeError

_LOG = logging.getLogger(__name__)
HEADERS_KEY: Final = 'apricotcart.headers'
REQUEST_KEY: Final = 'apricotcart.request'
_CRLF: Final = b'\r\n'
_HEADER_NAME: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_FORBIDDEN_BYTES: Final = re.compile(rb'[\x00\r\n]')
# Headers that may occur at most once: a second one could smuggle another
# request.
_UNIQUE_HEADERS: Final = frozenset(
    (b'Content-Length', b'Transfer-Encoding', b'Host')
)
_CHUNKED: Final = b'chunked'
# Threads that are started together when all are busy.
_THREADS_PER_GROWTH: Final = 8
_HEADER_ENCODING: Final = 'latin-1'
# The colon, the space and the line break of each header.
_HEADER_FRAMING_BYTES: Final = 4


class HeaderTable(dict[bytes, bytes]):
    """Headers by name, and in their original form.

    Attributes
    ----------
    pairs : list of (str, str)
        Names and values in the order of the request.
    """

    def __init__(self) -> None:
        super().__init__()
        self.pairs: list[tuple[str, str]] = []


class StrictHeaders(HeaderReader):
    """Parses headers and rejects ambiguous ones."""

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        """Read the headers up to the empty line.

        Raises
        ------
        ValueError
            If a line is malformed or the framing is ambiguous.
        """
        while True:
            line = rfile.readline()
            if line == _CRLF:
                break
            self._add_line(line, hdict)
        _check_framing(hdict)
        return hdict

    def _add_line(self, line: bytes, hdict: HeaderTable) -> None:
        name, header_value = _split_line(line)
        key = name.title()
        if key in hdict and key in _UNIQUE_HEADERS:
            raise ValueError('a header that may occur only once is repeated')
        earlier = [hdict[key]] if key in hdict else []
        hdict[key] = b', '.join([*earlier, header_value])
        hdict.pairs.append(
            (
                name.decode(_HEADER_ENCODING),
                header_value.decode(_HEADER_ENCODING),
            )
        )


class CallerRequest(DeadlineRequest):
    """Request that keeps its headers in their original form."""

    header_reader = StrictHeaders()

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.inheaders = HeaderTable()


class CallerConnection(DeadlineConnection):
    """Connection of a caller."""

    RequestHandlerClass = CallerRequest  # noqa: WPS115 (the library's name)


class CallerGateway(ConnectionGateway):
    """WSGI gateway that passes the request and raw headers on."""

    def get_environ(self) -> Any:
        """Return the WSGI environment with the request and its headers."""
        environ = super().get_environ()
        environ[HEADERS_KEY] = self.req.inheaders.pairs
        environ[REQUEST_KEY] = self.req
        return environ


class GrowingThreadPool(ThreadPool):
    """Thread pool that grows when connections would wait for a thread.

    The dispatcher queues requests by priority. A full pool would be another
    queue before it, one without priorities.
    """

    _queue: Any
    _threads: list[Any]
    _spawn_worker: Any

    def put(self, obj: Any) -> None:  # noqa: WPS110 (the library's name)
        """Queue a connection for a thread; grow if none is idle."""
        super().put(obj)
        if self.idle <= self._queue.qsize():
            self.grow(_THREADS_PER_GROWTH)

    @property
    def can_grow(self) -> bool:
        """Whether more threads may be started."""
        return len(self._threads) < int(self.max)

    def grow(self, amount: int) -> None:
        """Start threads, without waiting until they run.

        Without more threads, the connections wait for those that run.
        """
        available = max(self.max - len(self._threads), 0)
        try:
            for _ in range(int(min(amount, available))):
                self._threads.append(self._spawn_worker())
        except RuntimeError as exc:
            _LOG.warning('the thread pool cannot grow: %s', exc)


def require_small_head(
    target: str, headers: Sequence[tuple[str, str]], max_bytes: int
) -> None:
    """Check the size of a head.

    Parameters
    ----------
    target : str
        Path and query.
    headers : sequence of (str, str)
        Headers as received.
    max_bytes : int
        Limit of the desired state in bytes.

    Raises
    ------
    HeadTooLargeError
        If the head is larger.
    """
    size = len(target) + sum(
        len(name) + len(text) + _HEADER_FRAMING_BYTES for name, text in headers
    )
    if size > max_bytes:
        raise HeadTooLargeError(
            f'the head of {size} bytes exceeds the limit of {max_bytes} bytes'
        )


def _split_line(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(_CRLF):
        raise ValueError('a header line does not end with CRLF')
    name, colon, raw_value = line.removesuffix(_CRLF).partition(b':')
    header_value = raw_value.strip(b' \t')
    if not colon or _HEADER_NAME.fullmatch(name) is None:
        raise ValueError('a header has an invalid name')
    if _FORBIDDEN_BYTES.search(header_value):
        raise ValueError('a header value contains a control character')
    return name, header_value


def _check_framing(hdict: HeaderTable) -> None:
    length = hdict.get(b'Content-Length')
    encoding = hdict.get(b'Transfer-Encoding')
    if length is not None and not length.isdigit():
        raise ValueError('the Content-Length is not a decimal number')
    if encoding is None:
        return
    if length is not None:
        raise ValueError(
            'the request has both Content-Length and Transfer-Encoding'
        )
    if encoding.lower() != _CHUNKED:
        raise ValueError(
            'the Transfer-Encoding is not chunked, the only one supported'
        )
