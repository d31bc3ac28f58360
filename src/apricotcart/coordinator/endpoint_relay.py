"""Gives gateways the list of endpoints while no leader does."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from typing import Final

from apricotcart.coordinator.endpoint_list import (
    FETCH_INTERVAL_S,
    EndpointList,
)
from apricotcart.coordinator.messages import LIST
from apricotcart.errors.tree import UnavailableError
from apricotcart.timers.clock import boot_clock_s
from apricotcart.transport.api import WireMessage

# Wait for a fetch of another thread; below the timeout of the gateways.
_FETCH_WAIT_S: Final = 0.15


class EndpointRelay:
    """Fetches the list on demand, on leaders and followers alike.

    The platform limits the calls of all hosts together, so that hundreds of
    gateways could not fetch the list themselves.

    Parameters
    ----------
    endpoints : EndpointList
        List of this host.
    """

    __slots__ = ('_attempted_at', '_endpoints', '_fetching')

    def __init__(self, endpoints: EndpointList) -> None:
        self._endpoints = endpoints
        self._fetching = threading.Lock()
        self._attempted_at: float = -FETCH_INTERVAL_S

    def handlers(self) -> Mapping[str, Callable[[WireMessage], WireMessage]]:
        """Return the functions that answer requests, by their kind."""
        return {LIST: self._answer}

    def _answer(self, message: WireMessage) -> WireMessage:
        self._refresh()
        mark, instances = self._endpoints.changes_since(message['list_mark'])
        if not mark:
            raise UnavailableError('this host has no recent list of endpoints')
        return {
            'ok': True,
            'list_mark': mark,
            'instances': instances,
            'age_s': self._endpoints.age_s(),
        }

    def _refresh(self) -> None:
        """Fetch a list unless there is a recent one.

        Threads that find another one fetching wait for it only briefly, so
        that a silent platform does not occupy all of them.
        """
        if self._endpoints.age_s() < FETCH_INTERVAL_S:
            return
        if not self._fetching.acquire(timeout=_FETCH_WAIT_S):
            return
        with ExitStack() as stack:
            stack.callback(self._fetching.release)
            self._fetch_if_due()

    def _fetch_if_due(self) -> None:
        if boot_clock_s() >= self._attempted_at + FETCH_INTERVAL_S:
            self._endpoints.fetch()
            self._attempted_at = boot_clock_s()
