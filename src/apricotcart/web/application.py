"""Base of the WSGI applications."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Any

from apricotcart.errors.tree import ApricotcartError
from apricotcart.web.request import Environ, WebRequest
from apricotcart.web.response import WebResponse

_LOG = logging.getLogger(__name__)


class WebApplication(ABC):
    """Converts WSGI calls to requests and errors to typed responses."""

    def __call__(
        self,
        environ: Environ,
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer a WSGI call."""
        response = self._response(WebRequest(environ))
        start_response(response.status_line(), response.headers)
        return response.chunks

    @abstractmethod
    def respond(self, req: WebRequest) -> WebResponse:
        """Answer a request.

        Raises
        ------
        ApricotcartError
            Converted to the typed error response.
        """

    def _response(self, req: WebRequest) -> WebResponse:
        try:
            return self.respond(req)
        except ApricotcartError as exc:
            return WebResponse.from_error(exc)
        except Exception:
            _LOG.exception('%s %s failed', req.method, req.path)
            return WebResponse.from_error(ApricotcartError('internal failure'))
