"""Connections whose responses are checked for a valid head and framing.

The HTTP library treats a connection that ends within the headers as their end,
and misreads some sizes of chunks, so that a truncated response looks complete.
"""

from __future__ import annotations

import io
from http.client import HTTPResponse
from typing import Any, Final

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from apricotcart.responses.framing import Framing, FramingError
from apricotcart.responses.reader import ResponseReader
from apricotcart.timers.deadline_reader import DeadlineReader

_EVENT_STREAM: Final = 'text/event-stream'


class ClosingReader(ResponseReader):
    """Reader of a single response, which closes with it."""

    __slots__ = ()

    def close(self) -> None:
        """Close the buffered reader."""
        self._reader.close()
        self.closed = True


class StrictResponse(HTTPResponse):
    """A response whose headers and framing are checked.

    The timeout of its connection limits the whole response. For a stream of
    events it limits the headers, and then each read.

    Parameters
    ----------
    sock : socket.socket
        Socket of the connection.
    is_request_cut : bool
        Whether the request could not be written to its end. The error of the
        connection was then reported to the writer, and the reader sees the end
        of the connection instead.

    Raises
    ------
    ConnectionResetError
        If the connection ends within the headers.
    FramingError
        If the framing is invalid or ambiguous, or if only the end of a
        connection that broke says where the body ends.
    TimeoutError
        If the response takes too long.
    """

    def __init__(
        self, sock: Any, *, is_request_cut: bool = False, **options: Any
    ) -> None:
        super().__init__(sock, **options)
        self._is_request_cut = is_request_cut
        self.fp.close()
        self._timeout_s = sock.gettimeout()
        self._deadline_reader = DeadlineReader(sock)
        self._strict_reader = ClosingReader(
            io.BufferedReader(self._deadline_reader)
        )
        self._is_event_stream = False
        reader: Any = self._strict_reader
        self.fp = reader

    def begin(self) -> None:
        """Read the status line and headers."""
        self._deadline_reader.limit_time(self._timeout_s)
        super().begin()
        self._strict_reader.end_head(is_chunked=self.chunked)
        framing = Framing.of_response(self)
        if self._is_request_cut:
            _require_framed(framing)
            self.will_close = True
        content_type = self.headers.get_content_type()
        self._is_event_stream = content_type == _EVENT_STREAM

    def read1(self, size: int = -1) -> bytes:
        """Read available bytes of the body."""
        if self._is_event_stream:
            self._deadline_reader.limit_time(self._timeout_s)
        return super().read1(size)


class StrictConnection(HTTPConnection):
    """A connection with such responses."""

    def __init__(self, *args: Any, **options: Any) -> None:
        """Initialize a connection without opening it."""
        super().__init__(*args, **options)
        self.response_class = self._create_response  # type: ignore[assignment]
        self._is_request_cut = False

    def connect(self) -> None:
        """Open the connection."""
        self._is_request_cut = False
        super().connect()

    def send(self, data: Any) -> None:  # noqa: WPS110 (the library's name)
        """Write a part of the request.

        The HTTP library reads a response after a failed write too, since a
        server may answer before it has read the whole request.
        """
        try:
            super().send(data)
        except OSError:
            self._is_request_cut = True
            raise

    def _create_response(self, sock: Any, **options: Any) -> StrictResponse:
        return StrictResponse(
            sock, is_request_cut=self._is_request_cut, **options
        )


class StrictConnectionPool(HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = StrictConnection


def strict_pools(**options: Any) -> urllib3.PoolManager:
    """Return pools of such connections; the options are those of urllib3."""
    pools = urllib3.PoolManager(retries=False, **options)
    pools.pool_classes_by_scheme = {'http': StrictConnectionPool}
    return pools


def _require_framed(framing: Framing) -> None:
    if framing is Framing.CLOSE:
        raise FramingError(
            'the connection broke, and nothing else ends the response'
        )
