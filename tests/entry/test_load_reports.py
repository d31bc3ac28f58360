"""Guards against one odd load report that ends the polling of all engines."""

from __future__ import annotations

import threading
from http.server import BaseHTTPRequestHandler, HTTPServer
from types import SimpleNamespace
from typing import Any

import pytest

from apricotcart.entry.load_reports import LoadPoller


class ReportServer(HTTPServer):
    """Server of one report."""

    report = b''


class ReportHandler(BaseHTTPRequestHandler):
    """Returns the report of its server."""

    def do_GET(self) -> None:
        server: Any = self.server
        self.send_response(200)
        self.send_header('Content-Length', str(len(server.report)))
        self.end_headers()
        self.wfile.write(server.report)

    def log_message(self, *args: Any) -> None:
        """Discard the log line."""


def _serve(report: bytes) -> HTTPServer:
    server = ReportServer(('127.0.0.1', 0), ReportHandler)
    server.report = report
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def _poller(servers: list[HTTPServer], applied: list[str]) -> LoadPoller:
    endpoints = {
        f'e{number}': SimpleNamespace(
            spec={
                'pool': 'p',
                'url': f'http://127.0.0.1:{server.server_port}',
            }
        )
        for number, server in enumerate(servers)
    }
    pools = {'p': SimpleNamespace(spec={'kind': 'engine'})}
    resources: dict[str, Any] = {'endpoint': endpoints, 'pool': pools}
    copy: Any = SimpleNamespace(
        view=SimpleNamespace(all_of=resources.__getitem__)
    )

    def notify(event: Any) -> None:
        scheduler = SimpleNamespace(
            on_load_report=lambda now, name, report: applied.append(name)
        )
        event(scheduler, 1.0)

    dispatcher: Any = SimpleNamespace(notify=notify)
    return LoadPoller(copy, dispatcher)


@pytest.mark.parametrize(
    'odd',
    [
        b'[]',
        b'3',
        b'{"slots_used": 1e400}',
        b'{"queue": [1]}',
        b'{"token_rate": "x"}',
        b'[' * 2000 + b']' * 2000,
        b'\xff',
    ],
)
def test_odd_report_does_not_hide_the_others(odd: bytes) -> None:
    servers = [_serve(odd), _serve(b'{"slots_used": 3, "queue": 1}')]
    applied: list[str] = []
    _poller(servers, applied).poll()
    for server in servers:
        server.shutdown()
        server.server_close()
    assert applied == ['e1']
