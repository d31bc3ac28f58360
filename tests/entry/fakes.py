"""Fakes of endpoints, control hosts and callers for the request path."""

from __future__ import annotations

import io
import random
import socket
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import orjson

from apricotcart.endpoints.records import Endpoint
from apricotcart.entry.access import AccessControl
from apricotcart.entry.chat import ChatHandler
from apricotcart.entry.configuration import Configuration, Grant, RouteView
from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.dispatcher import Dispatcher
from apricotcart.entry.errors import (
    EndpointDrainingError,
    StaleConfigurationError,
)
from apricotcart.entry.orders import OrderRecorder
from apricotcart.entry.request_context import RequestContext, Runtime
from apricotcart.entry.retrying import RetryGate
from apricotcart.entry.running import RunningTable
from apricotcart.entry.services import ServiceHandler
from apricotcart.entry.upstream import Upstream
from apricotcart.entry.usage import UsageCounter
from apricotcart.errors.tree import UnavailableError
from apricotcart.observability.metrics import Metrics
from apricotcart.observability.telemetry import Telemetry
from apricotcart.observability.tracing import Tracer
from apricotcart.scheduling.config import SchedulerConfig
from apricotcart.scheduling.records import Customer, ServiceClass
from apricotcart.scheduling.scheduler import Scheduler
from apricotcart.transport.api import RequestClient, WireMessage
from apricotcart.web.request import WebRequest

# Much longer than any step takes; a test that reaches it fails.
TEST_TIMEOUT_S = 10.0
MAX_BODY_BYTES = 65_536
_RECEIVE_BYTES = 65_536

Script = Callable[[socket.socket, 'Received'], None]


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, or fail after ``TEST_TIMEOUT_S``."""
    ends_at = time.monotonic() + TEST_TIMEOUT_S
    while not condition():
        assert time.monotonic() < ends_at, 'the condition did not hold in time'
        time.sleep(0.005)


class Received:
    """One request as it arrived on a socket."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode('latin-1').split('\r\n')
        self.target = lines[0].split(' ')[1]
        pairs = (line.partition(':') for line in lines[1:])
        self.headers = {
            name.lower(): text.strip() for name, _, text in pairs if name
        }
        self.body = body

    @property
    def request_id(self) -> str:
        """Return the id that the answer must return."""
        return self.headers['x-request-id']


class SocketEndpoint:
    """An endpoint on a loopback socket that runs one script per request.

    A script sends the answer; the connection stays open when it returns.
    The functions below are scripts, return scripts or send parts of answers.
    """

    def __init__(self, *scripts: Script) -> None:
        """Start to listen; the last script answers all further requests."""
        self.scripts = list(scripts)
        self.received: list[Received] = []
        self.connections = 0
        self._conns: list[socket.socket] = []
        self._listener = socket.create_server(('127.0.0.1', 0))
        port = self._listener.getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Refuse further connections and close the open ones."""
        # Closing alone does not interrupt accept in another thread.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for conn in self._conns:
            conn.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self._conns.append(conn)
            threading.Thread(
                target=self._serve,
                args=(conn,),
                daemon=True,
            ).start()

    def _serve(self, conn: socket.socket) -> None:
        try:
            while True:
                request = _receive(conn)
                if request is None:
                    return
                number = len(self.received)
                self.received.append(request)
                self.scripts[min(number, len(self.scripts) - 1)](conn, request)
        except OSError:
            return


def _receive(conn: socket.socket) -> Received | None:
    buffered = b''
    while b'\r\n\r\n' not in buffered:
        chunk = conn.recv(_RECEIVE_BYTES)
        if not chunk:
            return None
        buffered += chunk
    head, _, body = buffered.partition(b'\r\n\r\n')
    request = Received(head, body)
    while len(request.body) < int(request.headers.get('content-length', 0)):
        request.body += conn.recv(_RECEIVE_BYTES)
    return request


def hang_up(conn: socket.socket, request: Received) -> None:
    """Close the connection without an answer."""
    conn.shutdown(socket.SHUT_RDWR)
    conn.close()


def stay_silent(conn: socket.socket, request: Received) -> None:
    """Send nothing."""


def reply(
    body: bytes,
    status: int = 200,
    *,
    request_id: str = '',
) -> Script:
    """Return a script that answers with a complete body."""

    def script(conn: socket.socket, request: Received) -> None:
        returned = request_id or request.request_id
        conn.sendall(
            f'HTTP/1.1 {status} X\r\nX-Request-Id: {returned}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body,
        )

    return script


def cut_reply(conn: socket.socket, request: Received) -> None:
    """Declare a body of ten bytes, send four and close."""
    conn.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf')
    hang_up(conn, request)


def start_stream(conn: socket.socket) -> None:
    """Send the headers of an event stream."""
    conn.sendall(
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n',
    )


def send_event(conn: socket.socket, text: bytes) -> None:
    """Send one event as a chunk."""
    event = b'data: %s\n\n' % text
    conn.sendall(b'%x\r\n%s\r\n' % (len(event), event))


def token(text: str, request_id: str | None = None) -> bytes:
    """Return the data of an event with one token."""
    document: dict[str, Any] = {'choices': [{'delta': {'content': text}}]}
    if request_id is not None:
        document['request_id'] = request_id
    return orjson.dumps(document)


DONE = b'[DONE]'
ROLE = b'{"choices":[{"delta":{"role":"assistant","content":""}}]}'


def stream(*events: bytes, then: Script | None = None) -> Script:
    """Return a script that sends events, then ends the body or runs `then`."""

    def script(conn: socket.socket, request: Received) -> None:
        start_stream(conn)
        for text in events:
            send_event(conn, text)
        if then is None:
            conn.sendall(b'0\r\n\r\n')
        else:
            then(conn, request)

    return script


class FakeConfiguration(Configuration):
    """A configuration whose freshness and keys are set by the test."""

    def __init__(self, routes: Iterable[RouteView]) -> None:
        self.is_fresh = True
        self.draining: set[str] = set()
        self.urls: dict[str, str] = {}
        self.withdrawn = False
        self._routes = {route.name: route for route in routes}

    def require_fresh(self) -> None:
        """Raise unless ``is_fresh``."""
        if not self.is_fresh:
            raise StaleConfigurationError('too old')

    def require_dispatchable(self, endpoint: str) -> None:
        """Raise for endpoints in ``draining``."""
        if endpoint in self.draining:
            raise EndpointDrainingError(endpoint)

    def is_key_valid(self, key_name: str) -> bool:
        """Return whether the key is still valid."""
        return not self.withdrawn

    def grant_of(self, token: str) -> Grant | None:
        """Return a grant of the only customer for any token."""
        return Grant(customer='guild', key_name=token)

    def route(self, name: str) -> RouteView | None:
        """Return a route."""
        return self._routes.get(name)

    def routes(self) -> list[RouteView]:
        """Return all routes."""
        return list(self._routes.values())

    def endpoint_url(self, name: str) -> str:
        """Return the URL of an endpoint."""
        return self.urls.get(name, '')


def route_view(name: str, kind: str, **fields: Any) -> RouteView:
    """Return a route whose default targets no test reaches."""
    defaults: dict[str, Any] = {
        'class_name': 'drafts',
        'pool': 'pool',
        'model': '',
        'is_public': False,
        'is_idempotent': True,
        'customers': frozenset(),
        'tier': 0,
        'first_token_s': TEST_TIMEOUT_S,
        'between_tokens_s': TEST_TIMEOUT_S,
        'total_s': TEST_TIMEOUT_S,
    }
    return RouteView(name=name, kind=kind, **{**defaults, **fields})


class FakeControl(RequestClient):
    """A control host with one predefined answer per call.

    An answer is a reply or an exception; the last one is repeated.
    """

    def __init__(self, *answers: WireMessage | Exception) -> None:
        self.answers = list(answers)
        self.messages: list[WireMessage] = []
        self.on_call: Callable[[WireMessage], None] = lambda message: None

    def call(self, message: WireMessage, timeout_s: float) -> WireMessage:
        """Return the next answer."""
        self.messages.append(message)
        self.on_call(message)
        answer = self.answers[0]
        if len(self.answers) > 1:
            self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def close(self) -> None:
        """Do nothing."""

    def commands(self, kind: str) -> list[WireMessage]:
        """Return the received commands of a kind."""
        received = [message['command'] for message in self.messages]
        return [command for command in received if command['kind'] == kind]


START: WireMessage = {'ok': True, 'outcome': 'start'}
LOST = UnavailableError('the answer was lost')


class EntryHarness:
    """Handlers of one entry host with fake endpoints and control hosts."""

    def __init__(self, *routes: RouteView) -> None:
        self.configuration = FakeConfiguration(routes)
        self.scheduler = Scheduler.from_config(
            SchedulerConfig(),
            random.Random(1),
        )
        self.dispatcher = Dispatcher(self.scheduler)
        self.running = RunningTable()
        self.metrics = Metrics()
        self.usage = UsageCounter(60)
        self.control = FakeControl(START)
        self.runtime = Runtime(
            configuration=self.configuration,
            dispatcher=self.dispatcher,
            running=self.running,
            telemetry=Telemetry(Tracer('entry', 'e1', None), self.metrics),
            upstream=Upstream(4),
        )
        self.orders = OrderRecorder(ControlLink({'c1': self.control}), 'e1', 1)
        self.gate = RetryGate(self.dispatcher, random.Random(1))
        shared: dict[str, Any] = {
            'runtime': self.runtime,
            'access': AccessControl(self.configuration),
            'usage': self.usage,
            'gate': self.gate,
            'max_body_bytes': MAX_BODY_BYTES,
        }
        self.chat = ChatHandler(**shared)
        self.services = ServiceHandler(orders=self.orders, **shared)
        self.dispatcher.start()

    def serve(self, **endpoints: str) -> None:
        """Configure endpoints, by name and URL, with one slot each."""
        self.configuration.urls = endpoints
        records = [Endpoint(name=name, pool='pool') for name in endpoints]
        classes = [ServiceClass(name='drafts', tier=0)]
        self.dispatcher.notify(
            lambda scheduler, now: scheduler.configure(
                now,
                classes,
                [Customer(name='guild')],
                records,
            ),
        )

    def revoke(self) -> None:
        """Withdraw the key and check the running requests."""
        self.configuration.withdrawn = True
        self.running.check(self.configuration)

    def in_use(self) -> int:
        """Count requests that are queued or hold a slot."""
        demand = self.dispatcher.notify(
            lambda scheduler, now: scheduler.demand(),
        )
        return sum(tier.queued + tier.in_flight for tier in demand.tiers)

    def is_idle(self) -> bool:
        """Return whether no request is running, queued or holds a slot."""
        return not len(self.running) and not self.in_use()

    def close(self) -> None:
        """Stop the timer thread."""
        self.dispatcher.stop()


class GrantOnlyContext(RequestContext):
    """A request context with a grant only."""

    def __init__(self, customer: str) -> None:
        self.grant = Grant(customer=customer)


class FakeConnection:
    """A caller's connection as the server passes it to the application."""

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock


def web_request(
    path: str,
    body: bytes = b'',
    headers: Mapping[str, str] | None = None,
    **environ: Any,
) -> WebRequest:
    """Return a POST request with the customer's key."""
    fields: dict[str, Any] = {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': path,
        'CONTENT_LENGTH': str(len(body)),
        'HTTP_AUTHORIZATION': 'Bearer k1',
        'wsgi.input': io.BytesIO(body),
    }
    for name, text in (headers or {}).items():
        fields[f'HTTP_{name.upper().replace("-", "_")}'] = text
    return WebRequest({**fields, **environ})


def order_request(body: bytes = b'{}', **environ: Any) -> WebRequest:
    """Return the request of an order."""
    return web_request(
        '/v1/services/dies/bookings',
        body,
        {'Idempotency-Key': 'order-1'},
        **environ,
    )


def chat_request(*, streamed: bool = False, **environ: Any) -> WebRequest:
    """Return a chat request."""
    document = {
        'model': 'draft',
        'messages': [{'role': 'user', 'content': 'a motto'}],
        'stream': streamed,
    }
    return web_request(
        '/v1/chat/completions',
        orjson.dumps(document),
        **environ,
    )
