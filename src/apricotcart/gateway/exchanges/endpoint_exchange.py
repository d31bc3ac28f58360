"""One request to one endpoint and its response."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import Any, Final

from apricotcart.gateway.api import EndpointRequestMetadata, HeaderCodec
from apricotcart.gateway.call import Call
from apricotcart.gateway.dispatching.endpoint_state import EndpointState
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    NotExecutedError,
    UnreachableEndpointError,
)
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.exchanges.exchange import (
    Destination,
    Exchange,
    Upstream,
    require_open,
)
from apricotcart.responses.memory import ResponseMemory
from apricotcart.timers.clock import boot_clock_s

# How long a stream waits for a list that shows which version it goes on at.
# Callers give streams up that pause for longer.
_RUN_TIMEOUT_S: Final = 2.0
_RUN_CHECK_S: Final = 0.05


class EndpointExchange(Exchange):
    """A request to an endpoint.

    Attributes
    ----------
    endpoint : EndpointState
        The endpoint.
    """

    def __init__(
        self,
        call: Call,
        upstream: Upstream[Any],
        pool: ConnectionPool,
        header_codec: HeaderCodec,
        memory: ResponseMemory,
        endpoint: EndpointState,
    ) -> None:
        instance = endpoint.instance
        destination = Destination(
            instance.instance_id,
            instance.address,
            {'endpoint': instance.instance_id, 'zone': instance.zone},
        )
        super().__init__(
            call, destination, upstream, pool, header_codec, memory
        )
        self.endpoint = endpoint

    @property
    def is_misdirected(self) -> bool:
        """Whether another endpoint has answered at the address."""
        return self.status == HTTPStatus.MISDIRECTED_REQUEST

    def _require_sendable(self) -> None:
        """Check the caller and the endpoint, and wait until its run is known.

        A stream goes on only at the version that began it, and an endpoint
        that has started again may have another one than the list shows.
        """
        super()._require_sendable()
        self._require_accepting()
        deadline = boot_clock_s() + min(
            _RUN_TIMEOUT_S, self._call.remaining_s()
        )
        while not self._is_run_known():
            if boot_clock_s() >= deadline:
                raise UnreachableEndpointError(
                    'whether the endpoint has started again is not known'
                )
            time.sleep(_RUN_CHECK_S)
            super()._require_sendable()
            self._require_accepting()

    def _is_run_known(self) -> bool:
        """Return whether the list shows the run that has the connection."""
        call = self._call
        return call.origin is None or self._pool.knows_run(
            self.destination.address,
            require_open(self._conn),
            call.dispatcher.listed_until,
        )

    def _require_accepting(self) -> None:
        endpoint = self.endpoint
        is_paused = endpoint.notices.pause_left_s(boot_clock_s()) > 0
        if is_paused or not endpoint.accepts_requests:
            raise UnreachableEndpointError(
                'the endpoint is draining or asked for a pause'
            )

    def _build_headers(
        self, last_event_id: str, remaining_s: float
    ) -> list[tuple[str, str]]:
        call = self._call
        call.send_count += 1
        return self._header_codec.build_endpoint_headers(
            call.message.headers,
            EndpointRequestMetadata(
                endpoint_id=self.endpoint.instance.instance_id,
                wait_s=remaining_s,
                customer=call.customer_name,
                urgency=call.urgency.levels_above,
                last_event_id=last_event_id,
                cache_source=self.endpoint.cache_source_of(call.request_id),
            ),
        )

    def _check_response(self) -> None:
        if self.metadata.is_not_run:
            raise NotExecutedError(
                f'the endpoint did not run the request: status {self.status}'
            )
        if not self.metadata.is_genuine:
            raise BrokenEndpointError(
                'the response lacks the stamp header of the endpoint'
            )
        if self.metadata.is_encoded:
            raise BrokenEndpointError(
                'the response body has an unrequested content encoding'
            )

    def _matches_attempt(self, *, is_first: bool) -> bool:
        attempt_id = self.metadata.attempt_id
        if attempt_id:
            return attempt_id == self._call.metadata.attempt_id
        # Without an id, only the first response on a connection is known to
        # belong to this request.
        if self.metadata.is_genuine or not is_first:
            raise BrokenEndpointError('the response has no attempt id')
        return True
