"""Starts the project's programs on loopback, with stand-ins around them.

Used by the scripts of `review/6` and later. It needs Python's standard library
only. Clients, servers and the platform are threads of the script; the project's
programs are separate processes, started with the commands of
`deploy/system.toml` and with settings from its template.
"""

from __future__ import annotations

import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'seals.example'
ZONES = ('zone-a', 'zone-b', 'zone-c')
LINK_PORTS = (7340, 7355)
# Bounds of the sheet of csft-sealdesk.
BOUNDS = {
    'grace_s': 8,
    'retry_budget_ratio': 0.2,
    'retry_budget_extra': 52,
    'lease_ms': 3000,
    'report_window_s': 5,
    'usage_late_s': 10,
    'ttl_max_s': 5,
    'config_apply_ms': 2000,
    'max_skew_ms': 5000,
}
LAG_S = 0.8
RESET = struct.pack('ii', 1, 0)


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happened to `record.txt` in the folder of the case."""

    def __init__(self, folder: str) -> None:
        self._file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f'{time.monotonic() - self._started_at:8.3f} {text}'
        with self._lock:
            self._file.write(line + '\n')
            self._file.flush()


def render(template: str, fields: dict) -> str:
    """Fill a template in, as DEPLOY.md says."""

    def look_up(path: str, scopes: list):
        if path == '.':
            return scopes[-1]
        for scope in reversed(scopes):
            found = scope
            for name in path.split('.'):
                if isinstance(found, dict):
                    found = found.get(name)
                elif isinstance(found, list) and name.isdigit():
                    found = found[int(name)] if int(name) < len(found) else None
                else:
                    found = None
                if found is None:
                    break
            if found is not None:
                return found
        return None

    def text_of(value, as_json: bool) -> str:
        if as_json:
            return json.dumps(value)
        if value is None:
            return ''
        if isinstance(value, list):
            return ','.join(text_of(entry, False) for entry in value)
        if isinstance(value, (dict, bool)):
            return json.dumps(value)
        return str(value)

    section = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
    place = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')

    def fill(text: str, scopes: list) -> str:
        def of_section(match: re.Match) -> str:
            value = look_up(match[1], scopes)
            if not value:
                return ''
            return fill(match[2], [*scopes, value])

        text = section.sub(of_section, text)
        return place.sub(
            lambda match: text_of(look_up(match[1], scopes), bool(match[2])),
            text,
        )

    return fill(template, [fields])


def free_port() -> int:
    """Return a port that is free on loopback."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class Process:
    """One of the project's programs on an address of its own."""

    def __init__(self, fleet: Fleet, role: str, ip: str, zone: str) -> None:
        self.fleet = fleet
        self.role = role
        self.ip = ip
        self.zone = zone
        self.name = f'{role}-{ip}'
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.running: subprocess.Popen | None = None

    @property
    def frontend(self) -> tuple[str, int]:
        return (self.ip, self.fleet.ports['frontend'])

    @property
    def ready(self) -> tuple[str, int]:
        return (self.ip, self.fleet.ports['ready'])

    @property
    def control(self) -> tuple[str, int]:
        return (self.ip, self.fleet.ports['control'])

    @property
    def directory(self) -> tuple[str, int]:
        return (self.ip, self.fleet.ports['directory'])

    def start(self, bootstrap: bool = False) -> None:
        """Write the settings and start the program."""
        fleet = self.fleet
        is_core = self.role == 'coordinator'
        serves = ('control', 'directory') if is_core else ('frontend', 'ready')
        fields = {
            'node_name': self.name,
            'role': self.role,
            'machine_class': 'core' if is_core else 'edge',
            'ip': self.ip,
            'zone': self.zone,
            'region': 'region',
            'zones': {zone: 'region' for zone in ZONES},
            'listen': {
                kind: f'{self.ip}:{fleet.ports[kind]}' for kind in serves
            },
            'internal_ports': list(LINK_PORTS),
            'seeds': [
                f'{core.ip}:{fleet.ports["control"]}'
                for core in fleet.coordinators[:3]
            ],
            'bootstrap': bootstrap,
            'limits': {'memory_mb': 300},
            'data_dir': str(self.folder / 'data') if is_core else None,
            'bounds': BOUNDS,
            'cloud': {
                'address': fleet.platform.address,
                'lag_ms': int(LAG_S * 1000),
            },
        }
        role = fleet.deploy['roles'][self.role]
        template = (ROOT / role['template']).read_text('utf-8')
        settings = self.folder / 'settings.ini'
        settings.write_text(render(template, fields), 'utf-8')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['APRICOTCART_CONFIG'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with open(self.folder / 'output.txt', 'ab') as output:
            self.running = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: int) -> None:
        if self.running is not None:
            self.running.send_signal(number)

    def kill(self) -> None:
        """Kill the program and wait for its end."""
        if self.running is not None:
            with suppress(ProcessLookupError):
                self.running.send_signal(signal.SIGCONT)
                self.running.kill()
            self.running.wait()
            self.running = None

    def log_lines(self) -> list[str]:
        path = self.folder / 'output.txt'
        return path.read_text('utf-8', 'replace').splitlines()


class Fleet:
    """The programs, the platform and the servers of one case."""

    def __init__(self, record: Record, cores: int = 3, edges: int = 2) -> None:
        if not (ROOT / 'target/deps/apricotcart').is_dir():
            raise CannotRun('target/deps is missing: run the build')
        self.record = record
        deploy = (ROOT / 'deploy/system.toml').read_text('utf-8')
        self.deploy = tomllib.loads(deploy)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        kinds = ('frontend', 'ready', 'control', 'directory')
        self.ports = {kind: free_port() for kind in kinds}
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.net = net
        self.platform = Platform(f'{net}.200')
        self.coordinators = [
            Process(self, 'coordinator', f'{net}.{10 + n}', ZONES[n % 3])
            for n in range(cores)
        ]
        self.gateways = [
            Process(self, 'gateway', f'{net}.{50 + n}', ZONES[n % 3])
            for n in range(edges)
        ]
        self.workers: list[Worker] = []
        self.version = 0

    @property
    def processes(self) -> list[Process]:
        return [*self.coordinators, *self.gateways]

    def start(self, document: dict) -> None:
        """Start everything and wait until a desired state is in force."""
        for process in self.processes:
            process.start(bootstrap=True)
        self.replace(document, 40)
        ends_at = time.monotonic() + 30
        for gateway in self.gateways:
            while http(gateway.ready, 'GET', '/v1/readyz')[0] != 200:
                if time.monotonic() > ends_at:
                    raise CannotRun(f'{gateway.name} is not ready')
                time.sleep(0.2)
        time.sleep(1.5)

    def replace(self, document: dict, longest_s: float = 15) -> None:
        """Send a desired state until it is acknowledged."""
        ends_at = time.monotonic() + longest_s
        number = 0
        while True:
            core = self.coordinators[number % len(self.coordinators)]
            status, _, body = http(
                core.control,
                'POST',
                '/v1/Config.Replace',
                json.dumps(document).encode(),
                timeout_s=3,
            )
            if status == 200:
                self.record(
                    f'operator: version {document["version"]} acknowledged'
                )
                return
            if 400 <= status < 500:
                raise CannotRun(f'the desired state is refused: {body!r}')
            if time.monotonic() > ends_at:
                raise CannotRun('no desired state was acknowledged')
            number += 1
            time.sleep(0.3)

    def close(self) -> None:
        """End all processes and stand-ins, and remove the folder."""
        for process in self.processes:
            process.kill()
        for worker in self.workers:
            worker.stop()
        self.platform.stop()
        if os.environ.get('KEEP'):
            sys.stderr.write(f'kept {self.folder}\n')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, service: str, kind: str, **fields) -> dict:
    """Return a route of a desired state."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'route_type': kind,
        'timeout_ms': 12000 if kind == 'streaming' else 3000,
        'goal_ms': 600,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'public': True,
        'sticky': False,
        'resumable': False,
        **fields,
    }


def document(version: int, routes: list, services: list, **fields) -> dict:
    """Return a desired state."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_conns': 300,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        **fields,
    }


def http(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b'',
    headers: tuple[str, ...] = (),
    timeout_s: float = 1.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new channel; the status is 0 without an answer."""
    lines = [f'{method} {path} HTTP/1.1', *headers]
    if not any(line.lower().startswith('host:') for line in headers):
        lines.append(f'Host: {HOST}')
    has_length = any(line.lower().startswith('content-length:') for line in headers)
    if (body or method == 'POST') and not has_length:
        lines.append(f'Content-Length: {len(body)}')
    request = '\r\n'.join([*lines, 'Connection: close', '', '']).encode()
    received = b''
    ends_at = time.monotonic() + timeout_s
    try:
        with socket.create_connection(address, timeout_s) as conn:
            conn.sendall(request + body)
            while True:
                left_s = ends_at - time.monotonic()
                if left_s <= 0:
                    return 0, {}, received
                conn.settimeout(left_s)
                chunk = conn.recv(65536)
                if not chunk:
                    break
                received += chunk
    except OSError:
        return 0, {}, received
    return parse(received)


def parse(received: bytes) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of an answer that has ended.

    The status is 0 if the answer isn't whole.
    """
    head, blank, body = received.partition(b'\r\n\r\n')
    if not blank:
        return 0, {}, received
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    status = int(lines[0].split()[1])
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        whole = unchunk(body)
        return (0, headers, body) if whole is None else (status, headers, whole)
    length = headers.get('content-length')
    if length is not None and len(body) != int(length):
        return 0, headers, body
    return status, headers, body


def unchunk(body: bytes) -> bytes | None:
    """Return the payload of a chunked body, None if it is cut off."""
    payload = b''
    while True:
        line, end, rest = body.partition(b'\r\n')
        if not end:
            return None
        size = int(line.split(b';')[0], 16)
        if not size:
            return payload if rest.startswith(b'\r\n') else None
        if len(rest) < size + 2:
            return None
        payload += rest[:size]
        body = rest[size + 2 :]


class Platform:
    """The platform's API: a list that lags, and duties that are accepted."""

    def __init__(self, ip: str) -> None:
        self.address = f'{ip}:{free_port()}'
        self.calls: list[tuple[str, dict, dict]] = []
        self._lock = threading.Lock()
        # Entries from a time on, by id; None from the time at which it is gone.
        self._history: list[tuple[float, str, dict | None]] = []
        platform = self

        class Handler(PlainHandler):
            def answer(self, method, path, headers, body):
                return platform.answer(method, path, headers, body)

        self._server = Server(self.address, Handler)

    def list(self, instance_id: str, entry: dict | None) -> None:
        """Change an entry; the list shows it after its lag."""
        with self._lock:
            self._history.append((time.monotonic() + LAG_S, instance_id, entry))

    def entries(self) -> list[dict]:
        now = time.monotonic()
        current: dict[str, dict | None] = {}
        with self._lock:
            for shown_at, instance_id, entry in self._history:
                if shown_at <= now:
                    current[instance_id] = entry
        return [entry for entry in current.values() if entry is not None]

    def answer(self, method, path, headers, body):
        if method == 'GET':
            answer = {'instances': self.entries(), 'next': None}
            return 200, json.dumps(answer).encode()
        with self._lock:
            self.calls.append((path, headers, json.loads(body)))
        return 200, b'{}'

    def stop(self) -> None:
        self._server.stop()


class Server:
    """A threading server on loopback, whose channels can be reset."""

    def __init__(self, address: str, handler: type) -> None:
        ip, _, port = address.rpartition(':')

        class Threading(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self.conns: set[socket.socket] = set()
        self.lock = threading.Lock()
        self._server = Threading((ip, int(port)), handler)
        self._server.owner = self
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def stop(self) -> None:
        self._server.shutdown()
        self._server.server_close()
        with self.lock:
            conns = list(self.conns)
        for conn in conns:
            with suppress(OSError):
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                conn.shutdown(socket.SHUT_RDWR)
            with suppress(OSError):
                conn.close()


class PlainHandler(socketserver.StreamRequestHandler):
    """Reads requests of one channel and answers them."""

    def setup(self):
        super().setup()
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        owner = self.server.owner
        with owner.lock:
            owner.conns.add(self.request)

    def finish(self):
        owner = self.server.owner
        with owner.lock:
            owner.conns.discard(self.request)
        with suppress(OSError):
            super().finish()

    def handle(self):
        with suppress(OSError, ValueError):
            while self.handle_one():
                pass

    def read_request(self):
        line = self.rfile.readline(65536)
        if not line.strip():
            return None
        method, path, _ = line.decode('latin-1').split()
        headers = []
        while (line := self.rfile.readline(65536)).strip():
            name, _, text = line.decode('latin-1').partition(':')
            headers.append((name.strip(), text.strip()))
        fields = {name.lower(): text for name, text in headers}
        body = self.rfile.read(int(fields.get('content-length', 0)))
        return method, path, headers, fields, body

    def handle_one(self) -> bool:
        request = self.read_request()
        if request is None:
            return False
        method, path, _, fields, body = request
        status, answer = self.answer(method, path, fields, body)
        self.wfile.write(
            f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(answer)}\r\n\r\n'.encode() + answer
        )
        return True

    def answer(self, method, path, headers, body):
        raise NotImplementedError


class Run:
    """A request that a worker began."""

    def __init__(self, worker, method, path, headers, fields, body) -> None:
        self.worker = worker
        self.method = method
        self.path = path
        self.headers = headers
        self.fields = fields
        self.body = body
        self.attempt_id = fields.get('attempt-id', '')
        self.at = time.monotonic()


class Worker:
    """A worker of a service: answers whole, or with a stream of events."""

    def __init__(
        self,
        fleet: Fleet,
        service: str,
        instance_id: str,
        *,
        address: str = '',
        version: str = 'v1',
        slots: int = 48,
        zone: str = ZONES[0],
        work_s: float = 0.02,
        events: int = 10,
        event_s: float = 0.05,
        listed: bool = True,
    ) -> None:
        self.fleet = fleet
        self.service = service
        self.instance_id = instance_id
        self.version = version
        self.work_s = work_s
        self.events = events
        self.event_s = event_s
        self.slots = slots
        self.zone = zone
        self.address = address or (
            f'{fleet.net}.{100 + len(fleet.workers)}:{free_port()}'
        )
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.rejected = 0
        self.is_up = True
        worker = self

        class Handler(WorkerHandler):
            owner = worker

        self._server = Server(self.address, Handler)
        fleet.workers.append(self)
        if listed:
            self.list()

    def list(self, state: str = 'ready') -> None:
        """Show the worker in the platform's list, after the list's lag."""
        self.fleet.platform.list(
            self.instance_id,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': self.version,
                'slots': self.slots,
                'state': state,
                'warmup_left_ms': 0,
                'id': self.instance_id,
                'born': self.born,
            },
        )

    def stop(self) -> None:
        """End at once; channels are reset."""
        if self.is_up:
            self.is_up = False
            self._server.stop()

    def extra_headers(self, run: Run) -> list[str]:
        """Return further headers of an answer."""
        return []


class WorkerHandler(PlainHandler):
    """Answers as PROTOCOL.md says."""

    owner: Worker

    def handle_one(self) -> bool:
        request = self.read_request()
        if request is None:
            return False
        worker = self.owner
        method, path, headers, fields, body = request
        attempt_id = fields.get('attempt-id', '')
        if path == '/healthz':
            self._answer(200, attempt_id, b'ok', [])
            return True
        wrong = fields.get('expect-instance', worker.instance_id)
        if wrong != worker.instance_id or not attempt_id:
            worker.rejected += 1
            status = 400 if not attempt_id else 421
            self._answer(status, attempt_id, b'', ['Not-Executed: 1'])
            return True
        run = Run(worker, method, path, headers, fields, body)
        worker.runs.append(run)
        worker.fleet.record(
            f'worker {worker.instance_id} {worker.version} runs {method} '
            f'{path} attempt {attempt_id} body of {len(body)} bytes'
        )
        if 'stream' in path:
            return self._stream(run)
        time.sleep(worker.work_s)
        self._answer(
            200, attempt_id, b'done ' + attempt_id.encode(), self._stamp(run)
        )
        return True

    def _stamp(self, run: Run) -> list[str]:
        worker = self.owner
        load = f'{1},{0},{worker.slots}'
        return [
            f'Server-Stamp: {worker.instance_id}.{worker.born}',
            f'Server-Load: {load}',
            *worker.extra_headers(run),
        ]

    def _answer(self, status, attempt_id, body, headers):
        lines = [
            f'HTTP/1.1 {status} X',
            f'Content-Length: {len(body)}',
            'Keep-Alive: timeout=10',
            *headers,
        ]
        if attempt_id:
            lines.append(f'Attempt-Id: {attempt_id}')
        self.wfile.write('\r\n'.join([*lines, '', '']).encode() + body)

    def _stream(self, run: Run) -> bool:
        worker = self.owner
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            'Keep-Alive: timeout=10',
            f'Attempt-Id: {run.attempt_id}',
            *self._stamp(run),
        ]
        self.wfile.write('\r\n'.join([*lines, '', '']).encode())
        first = int(run.fields.get('last-event-id') or 0) + 1
        for number in range(first, worker.events + 1):
            time.sleep(worker.event_s)
            event = f'id: {number}\ndata: {worker.version}\n\n'.encode()
            self.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
        self.wfile.write(b'0\r\n\r\n')
        return True


def main(folder: str, case) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held."""
    record = Record(folder)
    record(f'TROUBLE={int(TROUBLE)}')
    fleet = None
    verdict = NOT_RUN
    try:
        fleet = Fleet(record, **getattr(case, 'SIZE', {}))
        verdict = case.run(fleet, record)
    except CannotRun as exc:
        record(f'the case could not run: {exc}')
    finally:
        if fleet is not None:
            fleet.close()
    words = {HELD: 'held', BROKEN: 'BROKEN', NOT_RUN: 'not run'}
    record(f'verdict: {words[verdict]}')
    sys.stdout.write(f'{words[verdict]}\n')
    sys.exit(verdict)
