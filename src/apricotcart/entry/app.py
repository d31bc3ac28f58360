"""HTTP interface of an entry host."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from typing import Any

from apricotcart.entry.access import AccessControl
from apricotcart.entry.chat import CHAT_KIND, ChatHandler
from apricotcart.entry.services import PREFIX, ServiceHandler
from apricotcart.entry.shared_directory import SharedHostDirectory
from apricotcart.entry.stopping import ActiveRequests
from apricotcart.web.application import WebApplication
from apricotcart.web.errors import MethodError, UnknownPathError
from apricotcart.web.request import Environ, WebRequest
from apricotcart.web.response import WebResponse

_GET = 'GET'
_POST = 'POST'

Responder = Callable[[WebRequest], WebResponse]


class CountedChunks:
    """A response body that counts as active until the server closes it."""

    __slots__ = ('_active', '_chunks')

    def __init__(
        self,
        chunks: Iterable[bytes],
        active: ActiveRequests,
    ) -> None:
        self._chunks = chunks
        self._active = active

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the chunks of the body."""
        return iter(self._chunks)

    def close(self) -> None:
        """Count the request as ended; the server calls this in every case."""
        close = getattr(self._chunks, 'close', None)
        with ExitStack() as ending:
            # A count that is never lowered would block a planned stop forever.
            ending.callback(self._active.leave)
            if close is not None:
                close()


class EntryApplication(WebApplication):
    """WSGI application that routes requests of callers to handlers."""

    def __init__(
        self,
        *,
        access: AccessControl,
        chat: ChatHandler,
        services: ServiceHandler,
        hosts: SharedHostDirectory,
        active: ActiveRequests,
    ) -> None:
        self._access = access
        self._active = active
        self._services = services
        self._hosts = hosts
        self._routes: dict[str, tuple[str, Responder]] = {
            '/v1/chat/completions': (_POST, chat.respond),
            '/v1/models': (_GET, self._models),
            '/v1/hosts': (_GET, self._list_hosts),
            '/healthz': (_GET, self._health),
        }

    def __call__(
        self,
        environ: Environ,
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer a WSGI call and count it as active until its last byte."""
        self._active.enter()
        try:
            chunks = super().__call__(environ, start_response)
        except BaseException:
            self._active.leave()
            raise
        return CountedChunks(chunks, self._active)

    def respond(self, req: WebRequest) -> WebResponse:
        """Answer one request."""
        if req.path.startswith(PREFIX):
            return self._services.respond(req)
        method, responder = self._routes.get(req.path, ('', None))
        if responder is None:
            raise UnknownPathError(f'no resource at {req.path}')
        if req.method != method:
            raise MethodError(f'{req.path} supports only {method}')
        return responder(req)

    def _models(self, req: WebRequest) -> WebResponse:
        grant = self._access.authenticate(req)
        models = [
            {
                'id': route.name,
                'object': 'model',
                'created': 0,
                'owned_by': 'apricotcart',
            }
            for route in self._access.routes(grant, CHAT_KIND)
        ]
        return WebResponse.from_json({'object': 'list', 'data': models})

    def _list_hosts(self, req: WebRequest) -> WebResponse:
        zone = req.query('zone') or None
        return WebResponse.from_json(self._hosts.document(zone))

    def _health(self, req: WebRequest) -> WebResponse:
        return WebResponse.from_json({'ok': True})
