"""Connections to endpoints, which carry several requests."""

from __future__ import annotations

import io
import socket
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from http.client import HTTPConnection as PlainConnection
from http.client import HTTPException, HTTPResponse
from typing import Any, Final

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from apricotcart.gateway.api import ForwardedRequest, Headers
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    ConnectionEndedError,
    SilentEndpointError,
    UnreachableEndpointError,
)
from apricotcart.gateway.exchanges.observation import (
    EndpointObservation,
    ObservedReader,
)
from apricotcart.gateway.reachability.api import ReachObserver
from apricotcart.responses.reader import ResponseReader
from apricotcart.timers.clock import boot_clock_s

# An endpoint accepts a connection within a round trip; a lost packet delays
# this by one second, since TCP retransmits after that time.
CONNECT_TIMEOUT_S: Final = 1.2
# Methods whose requests have no Content-Length without a body.
_BODYLESS_METHODS: Final = frozenset(('GET', 'HEAD', 'DELETE'))


class EndpointConnection(HTTPConnection):
    """A connection that can carry several requests and responses.

    Parameters
    ----------
    address : str
        Address of the endpoint, as ``IP:PORT``.
    observer : ReachObserver or None
        Learns whether the endpoint is reached, by its address.

    Attributes
    ----------
    is_aborted : bool
        Whether another thread has shut the connection down.
    observation : EndpointObservation
        When it was established and last brought bytes.
    """

    def __init__(
        self, address: str, observer: ReachObserver | None = None
    ) -> None:
        """Initialize a connection without opening it."""
        self.observation = EndpointObservation(address, observer)
        host, _, port = address.rpartition(':')
        super().__init__(host, int(port), timeout=CONNECT_TIMEOUT_S)
        self.response_class = self._create_response  # type: ignore[assignment]
        self.is_aborted = False
        self.usable_until: float = 0
        self.is_reused = False
        self._socket: socket.socket | None = None
        self._deadline_reader: ObservedReader | None = None
        self._reader: Any = None
        self._sent_method = ''

    def connect(self) -> None:
        """Open the connection.

        Raises
        ------
        UnreachableEndpointError
            If the connection cannot be established.
        """
        started_at = boot_clock_s()
        self.observation.on_connecting()
        try:
            super().connect()
        except (HTTPError, OSError) as exc:
            self.observation.on_connect_failed(started_at, CONNECT_TIMEOUT_S)
            raise UnreachableEndpointError(str(exc)) from exc
        self._socket = self.sock
        self.observation.on_connected()
        self._deadline_reader = ObservedReader(self.sock, self.observation)
        self._reader = io.BufferedReader(self._deadline_reader)

    def send_request(
        self,
        message: ForwardedRequest,
        headers: Headers,
        timeout_s: float,
    ) -> None:
        """Write a request.

        Parameters
        ----------
        message : ForwardedRequest
            Method, path and body.
        headers : list of (str, str)
            Headers for the endpoint.
        timeout_s : float
            Timeout of each write, in seconds.

        Raises
        ------
        BrokenEndpointError
            If the request may have been written in part.
        """
        self._sent_method = message.method
        self.timeout = timeout_s
        self.sock.settimeout(timeout_s)
        try:
            self._write(message, headers)
        except ConnectionError as exc:
            raise ConnectionEndedError(
                f'the request could not be written: {exc}'
            ) from exc
        except (HTTPError, OSError, HTTPException) as exc:
            raise BrokenEndpointError(
                f'the request could not be written: {exc}'
            ) from exc

    def read_response(self, timeout_s: float) -> HTTPResponse:
        """Read the status line and headers of the response.

        Parameters
        ----------
        timeout_s : float
            Time limit of all of them, in seconds.

        Raises
        ------
        SilentEndpointError
            If they are not complete before the timeout.
        BrokenEndpointError
            If the data is not a valid response.
        """
        self.set_read_timeout(timeout_s)
        return self._receive(lambda: PlainConnection.getresponse(self))

    def read_next_response(self) -> HTTPResponse:
        """Read the next status line and headers within the same time limit.

        Raises
        ------
        SilentEndpointError, BrokenEndpointError
            As in `read_response`.
        """
        return self._receive(lambda: self._begin(self._create_response()))

    def set_read_timeout(self, timeout_s: float) -> None:
        """Limit the time of all subsequent reads together, in seconds."""
        if self._deadline_reader is not None:
            self._deadline_reader.limit_time(timeout_s)

    def has_unread_bytes(self) -> bool:
        """Return whether unsolicited data arrived or the connection failed."""
        if self._deadline_reader is None or self.sock is None:
            return True
        self._deadline_reader.limit_time(None)
        self.sock.settimeout(0)
        try:
            return bool(self._reader.peek(1))
        except OSError:
            return True

    def abort(self) -> None:
        """Interrupt reads and writes in other threads."""
        self.is_aborted = True
        if self._socket is not None:
            with suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def discard(self) -> None:
        """Close the connection and its reader."""
        self.close()
        if self._reader is not None:
            with suppress(OSError):
                self._reader.close()

    def _create_response(self, *_: Any, **options: Any) -> HTTPResponse:
        self._response_reader = ResponseReader(self._reader)
        return self._response_of_reader()

    def _response_of_reader(self) -> HTTPResponse:
        reader: Any = self._response_reader
        return HTTPResponse(reader, method=self._sent_method)

    def _receive(self, read_head: Callable[[], HTTPResponse]) -> HTTPResponse:
        try:
            response = self._skip_interim(read_head())
        except TimeoutError as exc:
            raise SilentEndpointError('no response before the timeout') from exc
        except ConnectionError as exc:
            raise ConnectionEndedError(f'no valid response: {exc!r}') from exc
        except (OSError, ValueError, HTTPException) as exc:
            raise BrokenEndpointError(f'no valid response: {exc!r}') from exc
        self._response_reader.end_head(is_chunked=response.chunked)
        return response

    def _skip_interim(self, response: HTTPResponse) -> HTTPResponse:
        # The HTTP library skips only those with status 100.
        while response.status < HTTPStatus.OK:
            if response.status == HTTPStatus.SWITCHING_PROTOCOLS:
                raise HTTPException('the endpoint switched the protocol')
            response.close()
            response = self._begin(self._response_of_reader())
        return response

    def _begin(self, response: HTTPResponse) -> HTTPResponse:
        response.begin()
        return response

    def _write(self, message: ForwardedRequest, headers: Headers) -> None:
        self.putrequest(
            message.method,
            message.target,
            skip_host=True,
            skip_accept_encoding=True,
        )
        for name, text in headers:
            self.putheader(name, text)
        body = message.body
        if body or message.method not in _BODYLESS_METHODS:
            self.putheader('Content-Length', str(len(body)))
        self.endheaders(body or None)
