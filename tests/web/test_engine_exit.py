"""Guards against requests that are lost when cherrypy's engine exits."""

from __future__ import annotations

import itertools
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import cherrypy
from gateway.started_process import read_to_end

from apricotcart.web.application import WebApplication
from apricotcart.web.request import WebRequest
from apricotcart.web.response import WebResponse
from apricotcart.web.server import (
    HttpAddress,
    ServerLimits,
    add_server,
    configure_engine,
)

_REQUEST: Final = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
_TIMEOUT_S: Final = 5
_DELAY_S: Final = 0.1
_SERVICE_S: Final = 0.3
_CALLERS: Final = 8


class SlowApplication(WebApplication):
    """Answers after a time."""

    def respond(self, req: WebRequest) -> WebResponse:
        """Wait, then answer."""
        time.sleep(_SERVICE_S)
        return WebResponse.from_json({'ok': True})


def test_engine_exit_answers_or_refuses(unused_tcp_port: int) -> None:
    """Guards against connections that are accepted and reset.

    The thread that accepts ended up to 0.5 s before the listener was closed,
    so that the kernel took connections which nobody served. Entry hosts and
    control hosts of the product end like this.
    """
    configure_engine()
    limits = ServerLimits(
        threads=4,
        max_header_bytes=4096,
        header_timeout_s=_TIMEOUT_S,
        body_timeout_s=_TIMEOUT_S,
    )
    address = ('127.0.0.1', unused_tcp_port)
    server = add_server(
        HttpAddress(host=address[0], port=address[1]),
        limits,
        SlowApplication(),
    )
    cherrypy.engine.start()
    exiting = threading.Thread(target=cherrypy.engine.exit)
    outcomes: set[str] = set()
    with socket.create_connection(address, _TIMEOUT_S) as early:
        early.sendall(_REQUEST)
        time.sleep(_DELAY_S)
        exiting.start()
        time.sleep(_DELAY_S)
        with ThreadPoolExecutor(_CALLERS) as executor:
            outcomes.update(
                executor.map(_ask, itertools.repeat(address, _CALLERS))
            )
        early_answer = read_to_end(early)
    exiting.join()
    server.unsubscribe()
    assert early_answer.startswith(b'HTTP/1.1 200')
    assert outcomes <= {'refused', 'answered'}


def _ask(address: tuple[str, int]) -> str:
    try:
        with socket.create_connection(address, _TIMEOUT_S) as conn:
            conn.sendall(_REQUEST)
            received = read_to_end(conn)
    except ConnectionRefusedError:
        return 'refused'
    return 'answered' if received.startswith(b'HTTP/1.1 200') else 'lost'
