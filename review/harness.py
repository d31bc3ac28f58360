"""Processes, stand-ins and a caller for the scripts of this review.

The programs are started as separate processes with the commands of the deploy
file. Everything else (platform, workers, callers) runs on threads of the
script and speaks what the pages of the platform describe.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST_NAME = 'seals.example'
KEY = 'key-of-guild-1'
TENANT = 'guild-1'
LISTEN_PORTS = (20_000, 32_000)
HELD, BROKEN, NOT_RUN = 0, 1, 2


class SetupError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run; written to record.txt at the end."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / 'record.txt'
        self._lock = threading.Lock()
        self._lines: list[str] = []
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        at = time.monotonic() - self._started_at
        with self._lock:
            self._lines.append(f'{at:8.3f} {text}')

    def write(self) -> None:
        with self._lock:
            self._path.write_text('\n'.join(self._lines) + '\n')


def free_ports(count: int, ips: list[str]) -> int:
    """Return the first of `count` consecutive ports that are free on all IPs.

    They are below those that the system gives to outgoing connections.
    """
    for _ in range(50):
        first = random.randrange(*LISTEN_PORTS)
        try:
            for ip in ips:
                for port in range(first, first + count):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        return first
    raise SetupError('no free ports')


class RawServer:
    """Calls a function with each accepted socket, on a thread of its own."""

    def __init__(self, ip: str, handle, port: int = 0) -> None:
        self._handle = handle
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((ip, port))
        self._socket.listen(256)
        self.port = self._socket.getsockname()[1]
        self.address = f'{ip}:{self.port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._socket.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: socket.socket) -> None:
        try:
            self._handle(conn)
        except OSError:
            pass
        finally:
            conn.close()


class Request:
    """A request as a worker or the platform has read it."""

    def __init__(self, method, target, headers, body) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name: str, default: str = '') -> str:
        return self.headers.get(name.lower(), default)


def read_request(reader) -> Request | None:
    """Read a request; None at the end of the connection."""
    line = reader.readline()
    if not line:
        return None
    method, target, _ = line.decode('latin-1').split()
    headers = {}
    while True:
        line = reader.readline()
        if line in (b'\r\n', b'\n', b''):
            break
        name, _, value = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


class Worker:
    """A sound worker of a service; subclasses or `on_request` change it.

    `on_request(worker, conn, request)` may write an answer itself and returns
    True if the connection is to be kept, False if it is to be closed, or None
    for the sound behaviour.
    """

    def __init__(self, record, ip, service, name, work_s=0.02, slots=6) -> None:
        self.record = record
        self.service = service
        self.name = name
        self.version = 'v1'
        # Number of its lifetimes before this one.
        self.restarts = 0
        self.work_s = work_s
        self.slots = slots
        self.on_request = None
        self.extra_headers: list[tuple[str, str]] = []
        self.born = int(time.time() * 1000)
        self.running = 0
        self.lock = threading.Lock()
        self.runs: list[tuple[float, str]] = []
        self._conns: set[socket.socket] = set()
        self.server = RawServer(ip, self._serve)
        self.address = self.server.address

    def entry(self, zone='zone-a', state='ready', **fields):
        return {
            'id': self.name,
            'service': self.service,
            'address': self.address,
            'zone': zone,
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'born': self.born,
            **fields,
        }

    def stamp_headers(self, request: Request) -> list[tuple[str, str]]:
        return [
            ('Attempt-Id', request.get('attempt-id')),
            ('Server-Stamp', f'stamp.{self.name}'),
            ('Server-Load', f'{self.running},0,{self.slots}'),
            *self.extra_headers,
        ]

    def answer(self, conn, request, status=200, body=b'', headers=()) -> None:
        lines = [f'HTTP/1.1 {status} x']
        for name, value in [
            *self.stamp_headers(request),
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers,
        ]:
            lines.append(f'{name}: {value}')
        conn.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)

    def note_run(self, request: Request) -> None:
        with self.lock:
            self.runs.append((time.monotonic(), request.get('attempt-id')))
        self.record.add(
            f'worker {self.name}: runs {request.method} {request.target} '
            f'attempt {request.get("attempt-id")} '
            f'deadline {request.get("deadline-ms")}'
        )

    def close(self) -> None:
        """End like a killed process: all connections at once."""
        self.restarts += 1
        self.server.close()
        for conn in list(self._conns):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def start_again(self, version: str) -> None:
        """Start a new lifetime under the same id, at the same address."""
        self.version = version
        self.born = int(time.time() * 1000)
        self.running = 0
        ip, _, port = self.address.rpartition(':')
        self.server = RawServer(ip, self._serve, int(port))

    def _serve(self, conn: socket.socket) -> None:
        self._conns.add(conn)
        try:
            reader = conn.makefile('rb')
            while True:
                request = read_request(reader)
                if request is None or not self._handle(conn, request):
                    return
        finally:
            self._conns.discard(conn)

    def _handle(self, conn, request: Request) -> bool:
        if request.target.startswith('/healthz'):
            body = b'ok'
            conn.sendall(
                b'HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 2\r\n'
                b'\r\n%s' % (self.name.encode(), body)
            )
            return True
        expected = request.get('expect-instance')
        if expected and expected != self.name:
            self.answer(conn, request, 421, b'', [('Not-Executed', '1')])
            return True
        if self.on_request is not None:
            keeps = self.on_request(self, conn, request)
            if keeps is not None:
                return keeps
        self.note_run(request)
        with self.lock:
            self.running += 1
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1
        self.answer(conn, request, 200, self.body_of(request))
        return True

    def body_of(self, request: Request) -> bytes:
        attempt = request.get('attempt-id')
        return json.dumps(
            {'attempt': attempt, 'by': self.name, 'text': 'x' * 600}
        ).encode()


class Platform:
    """The platform's API: the list of workers, and the duties."""

    def __init__(self, record, ip) -> None:
        self.record = record
        self.entries: list = []
        self.list_body = None
        # Earlier lists with the time of their end; the list lags by this.
        self.lag_s = 0.0
        self._earlier: list[tuple[float, list]] = []
        self.server = RawServer(ip, self._serve)
        self.address = self.server.address

    def _serve(self, conn) -> None:
        reader = conn.makefile('rb')
        while True:
            request = read_request(reader)
            if request is None:
                return
            body = b'{}'
            if request.target.startswith('/instances'):
                body = self._list()
            conn.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
            )

    def _list(self) -> bytes:
        if self.list_body is not None:
            return self.list_body
        entries = self.entries
        shown_at = time.monotonic() - self.lag_s
        for ended_at, earlier in reversed(self._earlier):
            if ended_at > shown_at:
                entries = earlier
        return json.dumps({'instances': entries, 'next': None}).encode()

    def replace_entries(self, entries: list) -> None:
        """Change the list, which shows that after its lag."""
        self._earlier.append((time.monotonic(), self.entries))
        self.entries = entries


SETTINGS = """[host]
name = {name}
zone = zone-a
region = region-1
address = {ip}
first_start = {first}

[listen]
{listen}

[links]
first_port = {port}
last_port = {last_port}
seeds = {seeds}

[data]
folder = {folder}

[platform]
address = {platform}

[bounds]
stop_s = 8
budget_ratio = 0.2
budget_extra = 52
fencing_lease_ms = 3000
usage_window_s = 5
usage_late_s = 10
answer_ttl_max_s = 5
state_apply_ms = 2000
state_skew_ms = 5000

[log]
format = json
level = info

[metrics]
port = {metrics}
"""


class Process:
    """One program of the deploy file."""

    def __init__(self, role, ip, config, log) -> None:
        self.role = role
        self.ip = ip
        self.config = config
        self.log = log
        self.popen: subprocess.Popen | None = None

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles'][self.role]['run'].split()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['APRICOTCART_CONFIG'] = str(self.config)
        self.popen = subprocess.Popen(
            words,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log.open('ab'),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: int) -> None:
        self.popen.send_signal(number)

    def has_ended(self) -> bool:
        return self.popen.poll() is not None

    def end(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    def memory_mb(self) -> float:
        text = pathlib.Path(f'/proc/{self.popen.pid}/status').read_text()
        for line in text.splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
        return 0


class Deployment:
    """Control hosts, entry hosts and the stand-ins of one case."""

    def __init__(
        self, folder, control=3, entry=1, spare=0, seeds=None, record=None
    ) -> None:
        self.record = record or Record(folder)
        self._temp = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.workers: list[Worker] = []
        self.processes: list[Process] = []
        base = 10 + os.getpid() % 200
        self.platform_ip = f'127.{base}.0.200'
        self.worker_ip = f'127.{base}.0.210'
        self.control_ips = [
            f'127.{base}.0.{n + 11}' for n in range(control + spare)
        ]
        self.seeds = self.control_ips[:seeds]
        self.entry_ips = [f'127.{base}.0.{n + 31}' for n in range(entry)]
        self.port = free_ports(8, self.control_ips + self.entry_ips)
        self.platform = Platform(self.record, self.platform_ip)
        self.control: list[Process] = []
        self.entry: list[Process] = []
        for number, ip in enumerate(self.control_ips, start=1):
            self.control.append(self._process('coordinator', ip, number))
        for number, ip in enumerate(self.entry_ips, start=1):
            self.entry.append(self._process('gateway', ip, number))
        self.spares = [self.control.pop() for _ in range(spare)]
        self.processes = [*self.control, *self.entry]
        self.version = 0

    def worker(self, service, name, **options) -> Worker:
        worker = Worker(self.record, self.worker_ip, service, name, **options)
        self.workers.append(worker)
        self.platform.entries.append(worker.entry())
        return worker

    def start(self, state: dict) -> None:
        for process in self.processes:
            process.start()
        self.replace_state(state, timeout_s=30)
        for ip in self.entry_ips:
            self._wait_ready(ip)
        time.sleep(1.5)

    def replace_state(self, state: dict, timeout_s: float = 10) -> None:
        """Send a desired state until it is acknowledged."""
        self.version += 1
        body = json.dumps({'version': self.version, **state}).encode()
        until = time.monotonic() + timeout_s
        turn = 0
        while time.monotonic() < until:
            ip = self.control_ips[turn % len(self.control_ips)]
            turn += 1
            try:
                status, text = http_call(
                    ip, self.port + 2, 'POST', '/v1/Config.Replace', body
                )
            except OSError as exc:
                status, text = 0, str(exc).encode()
            if status == 200:
                self.record.add(f'operator: version {self.version} acknowledged')
                return
            if status in (400, 409, 412, 413, 422):
                raise SetupError(f'state refused: {status} {text!r}')
            time.sleep(0.3)
        raise SetupError(f'no acknowledgement: {status} {text!r}')

    def entry_address(self, number: int = 0) -> tuple[str, int]:
        return self.entry_ips[number], self.port + 4

    def end_first_start(self) -> None:
        """Let later starts read settings in which it is over."""
        for process in [*self.processes, *self.spares]:
            text = process.config.read_text()
            process.config.write_text(
                text.replace('first_start = true', 'first_start = false')
            )

    def empty_disk(self, process: Process) -> None:
        """Lose the data folder of a process that has ended."""
        folder = self._temp / process.config.stem
        shutil.rmtree(folder)
        folder.mkdir()

    def close(self) -> None:
        for process in [*self.processes, *self.spares]:
            process.end()
        for worker in self.workers:
            worker.close()
        self.platform.server.close()
        self.record.write()
        if os.environ.get('KEEP_LOGS'):
            print('logs in', self._temp)
        else:
            shutil.rmtree(self._temp, ignore_errors=True)

    def log_text(self, process: Process) -> str:
        return process.log.read_text(errors='replace')

    def _wait_ready(self, ip: str) -> None:
        until = time.monotonic() + 30
        while time.monotonic() < until:
            try:
                if http_call(ip, self.port + 5, 'GET', '/v1/readyz')[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.2)
        raise SetupError(f'{ip} is not ready')

    def _process(self, role, ip, number) -> Process:
        name = f'{role}-{number}'
        port = self.port
        folder = ''
        if role == 'coordinator':
            data = self._temp / name
            data.mkdir()
            folder = str(data)
            listen = (
                f'operators = {ip}:{port + 2}\ndirectory = {ip}:{port + 3}'
            )
        else:
            listen = (
                f'callers = {ip}:{port + 4}\nreadiness = {ip}:{port + 5}'
            )
        config = self._temp / f'{name}.ini'
        config.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                first='true' if role == 'coordinator' else 'false',
                listen=listen,
                port=port,
                last_port=port + 1,
                seeds=','.join(f'{c}:{port + 2}' for c in self.seeds),
                folder=folder,
                platform=self.platform.address,
                metrics=port + 6,
            )
        )
        return Process(role, ip, config, self._temp / f'{name}.log')


def http_call(ip, port, method, path, body=None, timeout=2.0):
    conn = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        headers = {'Content-Type': 'application/json'} if body else {}
        conn.request(method, path, body, headers)
        response = conn.getresponse()
        return response.status, response.read()
    except http.client.HTTPException as exc:
        raise OSError(str(exc)) from exc
    finally:
        conn.close()


class Answer:
    """What a caller got: status 0 without a complete answer."""

    def __init__(self, status, headers, body, error, took_s) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.error = error
        self.took_s = took_s


def call(
    record, address, path, attempt, *, method='POST', body=b'order',
    deadline_ms=3000, patience_s=None, headers=(), key=KEY,
) -> Answer:
    """Send one request on a new connection and wait for its answer."""
    started_at = time.monotonic()
    patience_s = deadline_ms / 1000 if patience_s is None else patience_s
    record.add(f'caller: sends {method} {path} attempt {attempt}')
    conn = http.client.HTTPConnection(*address, timeout=patience_s)
    status, got, text, error = 0, [], b'', ''
    try:
        conn.putrequest(method, path, skip_host=True, skip_accept_encoding=True)
        for name, value in [
            ('Host', HOST_NAME),
            ('Attempt-Id', attempt),
            ('Deadline-Ms', str(deadline_ms)),
            ('Key', key),
            *headers,
        ]:
            conn.putheader(name, value)
        if method != 'GET':
            conn.putheader('Content-Length', str(len(body)))
        conn.endheaders(body if method != 'GET' else None)
        response = conn.getresponse()
        got = response.getheaders()
        text = response.read()
        status = response.status
    except (OSError, http.client.HTTPException) as exc:
        error = repr(exc)
    finally:
        conn.close()
    took_s = time.monotonic() - started_at
    record.add(
        f'caller: attempt {attempt} got status {status} after {took_s:.3f} s '
        f'{len(text)} bytes {error}'
    )
    return Answer(status, got, text, error, took_s)


def route(name, prefix, kind, service, **fields) -> dict:
    return {
        'name': name,
        'host': HOST_NAME,
        'path_prefix': prefix,
        'route_type': kind,
        'timeout_ms': 1500,
        'goal_ms': 300,
        'priority': 2,
        'service': service,
        'max_attempts': 1 if kind == 'unsafe' else 2,
        'public': False,
        **fields,
    }


def desired_state(routes, services) -> dict:
    return {
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_conns': 96,
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
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


def main(folder: str, case) -> None:
    """Run a case; `case(folder)` returns whether the rule held."""
    path = pathlib.Path(folder).resolve().parent
    # A case that is stopped from outside ends its processes first.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        held = case(path)
    except SetupError as exc:
        print('the case could not run:', exc)
        sys.exit(NOT_RUN)
    except SystemExit:
        # Callers may still be waiting on their threads.
        os._exit(NOT_RUN)
    print('held' if held else 'BROKEN')
    sys.exit(HELD if held else BROKEN)
