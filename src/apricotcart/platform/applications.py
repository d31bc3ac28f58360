"""WSGI applications for operators, host discovery and readiness checks."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from apricotcart.coordinator.evacuation_service import EvacuationService
from apricotcart.coordinator.services import DesiredStateService
from apricotcart.errors.tree import UnavailableError
from apricotcart.membership.answers import ServingHostDirectory
from apricotcart.web.application import WebApplication
from apricotcart.web.errors import UnknownPathError
from apricotcart.web.request import WebRequest
from apricotcart.web.response import JSON_TYPE, WebResponse

_POST: Final = 'POST'
_REPLACE: Final = (_POST, '/v1/Config.Replace')
_FETCH: Final = ('GET', '/v1/Config.Fetch')
# Both are followed by the name of a zone.
_EVACUATE: Final = '/v1/Evacuations.Begin/'
_TAKE_BACK: Final = '/v1/Evacuations.Finish/'
_RESOLVE: Final = ('GET', '/v1/resolve')
_READY: Final = ('GET', '/v1/readyz')
_MAX_DOCUMENT_BYTES: Final = 16_777_216
# Maximum number of addresses in a response.
_MAX_ADDRESSES: Final = 64


class OperatorApplication(WebApplication):
    """Replaces and returns the desired state, and evacuates zones.

    Parameters
    ----------
    service : DesiredStateService
        Stores the desired state.
    evacuations : EvacuationService
        Begins and ends evacuations.
    """

    def __init__(
        self, service: DesiredStateService, evacuations: EvacuationService
    ) -> None:
        self._service = service
        self._evacuations = evacuations

    def respond(self, req: WebRequest) -> WebResponse:
        """Answer an operator's request."""
        call = (req.method, req.path)
        if call == _REPLACE:
            version = self._service.replace(req.body(_MAX_DOCUMENT_BYTES))
            return WebResponse.from_json({'version': version})
        if call == _FETCH:
            return WebResponse.from_bytes(self._service.fetch(), JSON_TYPE)
        for prefix, is_evacuated in ((_EVACUATE, True), (_TAKE_BACK, False)):
            if req.method == _POST and req.path.startswith(prefix):
                zone = req.path.removeprefix(prefix)
                return self._change_evacuation(
                    req, zone, is_evacuated=is_evacuated
                )
        raise UnknownPathError(f'unknown path or method: {req.path}')

    def _change_evacuation(
        self, req: WebRequest, zone: str, *, is_evacuated: bool
    ) -> WebResponse:
        self._evacuations.change(
            zone,
            is_evacuated=is_evacuated,
            is_caller_gone=req.is_disconnected,
        )
        return WebResponse.from_json({'zone': zone})


class DirectoryApplication(WebApplication):
    """Returns the addresses of serving hosts to callers.

    Parameters
    ----------
    directory : ServingHostDirectory
        List of the serving hosts.
    """

    def __init__(self, directory: ServingHostDirectory) -> None:
        self._directory = directory

    def respond(self, req: WebRequest) -> WebResponse:
        """Return the addresses that a caller may use.

        Raises
        ------
        UnavailableError
            If no serving host is known.
        """
        if (req.method, req.path) != _RESOLVE:
            raise UnknownPathError(f'unknown path or method: {req.path}')
        answer = self._directory.answer(req.query('zone'), _MAX_ADDRESSES)
        if not answer.addresses:
            raise UnavailableError('no serving host is known')
        return WebResponse.from_json(
            {'addresses': answer.addresses, 'ttl_s': answer.ttl_s},
        )


class ReadinessApplication(WebApplication):
    """Returns whether a host accepts requests.

    Parameters
    ----------
    is_ready : callable
        Returns whether the host accepts requests.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def respond(self, req: WebRequest) -> WebResponse:
        """Answer a readiness check."""
        if (req.method, req.path) != _READY:
            raise UnknownPathError(f'unknown path or method: {req.path}')
        if self._is_ready():
            return WebResponse.from_json({})
        return WebResponse.from_json({}, HTTPStatus.SERVICE_UNAVAILABLE)
