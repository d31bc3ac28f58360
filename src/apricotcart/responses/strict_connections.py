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

from apricotcart.responses.framing import Framing
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

    Raises
    ------
    ConnectionResetError
        If the connection ends within the headers.
    FramingError
        If the framing is invalid or ambiguous.
    TimeoutError
        If the response takes too long.
    """

    def __init__(self, sock: Any, **options: Any) -> None:
        super().__init__(sock, **options)
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
        Framing.of_response(self)
        content_type = self.headers.get_content_type()
        self._is_event_stream = content_type == _EVENT_STREAM

    def read1(self, size: int = -1) -> bytes:
        """Read available bytes of the body."""
        if self._is_event_stream:
            self._deadline_reader.limit_time(self._timeout_s)
        return super().read1(size)


class StrictConnection(HTTPConnection):
    """A connection with such responses."""

    response_class = StrictResponse


class StrictConnectionPool(HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = StrictConnection


def strict_pools(**options: Any) -> urllib3.PoolManager:
    """Return pools of such connections; the options are those of urllib3."""
    pools = urllib3.PoolManager(retries=False, **options)
    pools.pool_classes_by_scheme = {'http': StrictConnectionPool}
    return pools
