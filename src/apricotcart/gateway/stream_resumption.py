"""Finds where a stream began that a caller resumes."""

from __future__ import annotations

from apricotcart.desired.records import Route
from apricotcart.gateway.api import RequestMetadata
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.resumption.errors import StreamVersionGoneError
from apricotcart.resumption.origins import StreamOrigin
from apricotcart.resumption.stream_origins import StreamOrigins


class StreamResumption:
    """Resolves requests that resume a stream.

    Parameters
    ----------
    origins : StreamOrigins
        Knows where streams began.
    dispatcher : Dispatcher
        Knows the versions of the listed endpoints.
    """

    __slots__ = ('_dispatcher', '_origins')

    def __init__(self, origins: StreamOrigins, dispatcher: Dispatcher) -> None:
        self._origins = origins
        self._dispatcher = dispatcher

    def origin(
        self, route: Route, metadata: RequestMetadata
    ) -> StreamOrigin | None:
        """Return where a stream began, None if the request begins one.

        Raises
        ------
        StreamOriginUnknownError
            If that is not known.
        StreamVersionGoneError
            If the route no longer leads there.
        """
        if not (route.resumable and metadata.last_event_id):
            return None
        services = [split.service for split in route.splits]
        origin = self._origins.find(
            request_id=metadata.attempt_id,
            attempt_id=metadata.resumes,
            services=services,
            listed=self._dispatcher.listed_versions(),
        )
        if origin.service not in services:
            raise StreamVersionGoneError(
                'the route no longer leads to the service of the stream',
                software=origin.software_version,
            )
        return origin
