"""A stand-in for the operator API of the control hosts."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread
from typing import Any

import pytest

from apricotcart.run import run
from apricotcart.state.specs import SPECS

TOKEN = 'operator-token-0123456789'

Answer = tuple[int, Any]
Document = dict[str, Any]


class Handler(BaseHTTPRequestHandler):
    """Passes requests of any method to the stand-in."""

    standin: ControlStandin

    def __getattr__(self, name: str) -> Any:
        """Return the same method for GET, POST and DELETE."""
        if name.startswith('do_'):
            return self.serve
        raise AttributeError(name)

    def serve(self) -> None:
        """Pass the request to the stand-in."""
        self.standin.serve(self)

    def log_message(self, format: str, *args: Any) -> None:
        """Discard the log line."""


class ControlStandin:
    """Control host with resources in memory and scripted faults."""

    def __init__(self) -> None:
        """Start without resources and faults."""
        self.resources: dict[Any, Document] = {}
        self.revision = 0
        self.calls: list[tuple[str, str, Any]] = []
        self.faults: list[Answer | str] = []
        self.streams: list[list[Document]] = []
        handler = type('StandinHandler', (Handler,), {'standin': self})
        self.server = ThreadingHTTPServer(('127.0.0.1', 0), handler)
        port = self.server.server_port
        self.url = f'http://127.0.0.1:{port}'
        Thread(target=self.server.serve_forever, args=(0.01,)).start()

    def serve(self, handler: BaseHTTPRequestHandler) -> None:
        """Answer a request; a scripted fault replaces the answer."""
        size = int(handler.headers.get('Content-Length', 0))
        body = json.loads(handler.rfile.read(size) or b'null')
        self.calls.append((handler.command, handler.path, body))
        fault = self.faults.pop(0) if self.faults else None
        if fault == 'close before':
            return
        status, text = self.respond(handler, fault, body)
        if fault != 'close after':
            self.send(handler, status, text.encode())

    def respond(
        self, handler: BaseHTTPRequestHandler, fault: Any, body: Any
    ) -> tuple[int, str]:
        """Return the status and body of an answer."""
        if handler.headers['Authorization'] != f'Bearer {TOKEN}':
            return 401, json.dumps(error('access_denied'))
        if handler.path.startswith('/v1/watch'):
            events = self.streams.pop(0) if self.streams else []
            lines = map(json.dumps, events)
            return 200, ''.join(f'{line}\n\n' for line in lines)
        if isinstance(fault, tuple):
            status, document = fault
        else:
            status, document = self.answer(handler.command, handler.path, body)
        return status, json.dumps(document)

    def send(
        self, handler: BaseHTTPRequestHandler, status: int, body: bytes
    ) -> None:
        """Write an answer."""
        handler.send_response(status)
        handler.send_header('Content-Length', str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def answer(self, method: str, path: str, body: Any) -> Answer:
        """Read or change the resources."""
        path = path.partition('?')[0]
        parts = path.split('/')[3:]
        if path == '/v1/apply':
            return self.apply(body['changes'])
        if path == '/v1/members':
            return 200, {'voters': [], 'removed': body['node_id']}
        if path in {'/v1/status', '/v1/report'}:
            members = [{'name': 'control-1', 'role': 'voter'}]
            return 200, {'leader': 'control-1', 'members': members, 'term': 3}
        if len(parts) == 1:
            stored = self.resources.values()
            matching = [entry for entry in stored if entry['kind'] == parts[0]]
            return 200, {'revision': self.revision, 'items': matching}
        return self.answer_resource(method, (parts[0], parts[1]))

    def answer_resource(self, method: str, identity: tuple[str, str]) -> Answer:
        """Read or delete a resource."""
        stored = self.resources.get(identity)
        if stored is None:
            return 404, error('not_found')
        if method == 'DELETE':
            self.revision += 1
            self.resources.pop(identity)
            return 200, {'revision': self.revision}
        return 200, stored

    def apply(self, changes: list[Document]) -> Answer:
        """Apply the changes if every expected version matches."""
        for change in changes:
            identity = (change['kind'], change['name'])
            stored = self.resources.get(identity, {'version': 0})
            if change['expected_version'] != stored['version']:
                return 409, error('version_conflict')
        self.revision += 1
        for change in changes:
            kind = change['kind']
            self.resources[kind, change['name']] = {
                'kind': kind,
                'name': change['name'],
                'version': change['expected_version'] + 1,
                'revision': self.revision,
                'spec': SPECS[kind].normalize(change['spec'], '')[0],
                'status': {},
            }
        return 200, {'revision': self.revision}


def error(code: str, **more: Any) -> Document:
    """Return the body of an error answer."""
    return {'error': {'code': code, 'message': f'{code} happened', **more}}


@pytest.fixture
def control() -> Iterator[ControlStandin]:
    """Run a control host's stand-in."""
    standin = ControlStandin()
    yield standin
    standin.server.shutdown()
    standin.server.server_close()


@pytest.fixture
def operate(
    control: ControlStandin,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> Callable[..., int]:
    """Return a function that runs a subcommand against the stand-in."""
    token = tmp_path / 'token'
    token.write_text(f'{TOKEN}\n')
    monkeypatch.setenv('APRICOTCART_CONTROL', control.url)
    monkeypatch.setenv('APRICOTCART_TOKEN_FILE', str(token))
    return lambda *words: run([str(word) for word in words])
