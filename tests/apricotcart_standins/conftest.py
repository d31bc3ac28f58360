"""Fixture that serves stand-ins in threads of the test process."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import pytest

from apricotcart_standins.options import build_parser
from apricotcart_standins.run import build_stand_in
from apricotcart_standins.web import Server

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standin_calls import ServeFixture


@pytest.fixture
def serve() -> Iterator[ServeFixture]:
    """Return a function that starts a stand-in and returns its URL."""
    servers: list[Server] = []

    def start(*arguments: str) -> str:
        options = build_parser().parse_args(list(arguments))
        server = Server((options.host, options.port), build_stand_in(options))
        servers.append(server)
        threading.Thread(
            target=server.serve_forever,
            args=(0.02,),
            daemon=True,
        ).start()
        return server.url

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()
