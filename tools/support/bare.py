"""Minimal handler on the same HTTP server as the entry hosts."""

from __future__ import annotations

import argparse

import cherrypy

from apricotcart.web.application import WebApplication
from apricotcart.web.request import WebRequest
from apricotcart.web.response import WebResponse
from apricotcart.web.server import (
    HttpAddress,
    ServerLimits,
    add_server,
    configure_engine,
    mount,
)

_MAX_BODY_BYTES = 1_000_000


class BareApplication(WebApplication):
    """Reads the body and returns a fixed answer."""

    def respond(self, req: WebRequest) -> WebResponse:
        """Return the fixed answer."""
        req.body(_MAX_BODY_BYTES)
        return WebResponse.from_json({'ok': True})


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--host', required=True)
    parser.add_argument('--port', type=int, required=True)
    args = parser.parse_args()
    configure_engine()
    mount(BareApplication())
    add_server(
        HttpAddress(host=args.host, port=args.port),
        ServerLimits(
            threads=256,
            max_header_bytes=32_768,
            header_timeout_s=10,
            body_timeout_s=30,
        ),
    )
    cherrypy.engine.start()
    cherrypy.engine.block()


if __name__ == '__main__':
    main()
