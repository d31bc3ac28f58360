"""Requests to whichever control host leads."""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
from typing import Any

from apricotcart.errors.tree import (
    CodecError,
    NotLeaderError,
    UnavailableError,
)
from apricotcart.transport.api import RequestClient, WireMessage

# One control host gets at most this long before the next one is asked.
_TRY_S = 0.7
_PAUSE_S = 0.05
_ADDRESS = 'address'


class ControlLink:
    """Finds the leader among the control hosts and remembers it.

    Parameters
    ----------
    clients : dict of str to RequestClient
        A client for each control host by its address.
    """

    __slots__ = (
        '_addresses',
        '_clients',
        '_leader',
        '_lock',
        '_was_hinted',
    )

    def __init__(self, clients: dict[str, RequestClient]) -> None:
        """Start with the first address."""
        self._clients = clients
        self._addresses: Sequence[str] = list(clients)
        self._leader = self._addresses[0]
        self._was_hinted = False
        self._lock = threading.Lock()

    def command(
        self,
        command: WireMessage,
        timeout_s: float,
        traceparent: str = '',
    ) -> WireMessage:
        """Commit a command of the replicated state.

        Parameters
        ----------
        command : dict
            The command.
        timeout_s : float
            Time for the answer in seconds.
        traceparent : str
            Trace context of the request that the command belongs to.

        Raises
        ------
        UnavailableError
            If the command may or may not have been committed in time.
        """
        message = {'kind': 'command', 'command': command}
        if traceparent:
            message['traceparent'] = traceparent
        return self.call(message, timeout_s)

    def call(self, message: WireMessage, timeout_s: float) -> WireMessage:
        """Ask the leader, following the control hosts' hints.

        Raises
        ------
        UnavailableError
            If no leader answered in time.
        """
        deadline = time.monotonic() + timeout_s
        failure = 'no control host was asked'
        while True:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                raise UnavailableError(f'no leader answered: {failure}')
            address = self._leader
            try:
                return self._ask(address, message, min(left_s, _TRY_S))
            except (NotLeaderError, UnavailableError, CodecError) as exc:
                failure = exc.message
                self._move_on(address, exc.context)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()

    def _ask(
        self,
        address: str,
        message: WireMessage,
        timeout_s: float,
    ) -> WireMessage:
        reply = self._clients[address].call(message, timeout_s)
        code = reply.get('code')
        if code == NotLeaderError.code:
            raise NotLeaderError(
                str(reply.get('message')),
                **reply.get('context', {}),
            )
        if code == UnavailableError.code:
            raise UnavailableError(str(reply.get('message')))
        return reply

    def _move_on(self, failed: str, hint: dict[str, Any]) -> None:
        with self._lock:
            if self._leader != failed:
                return
            hinted = hint.get(_ADDRESS)
            # Two hosts that name each other must not keep a third from
            # being asked, so a hint that failed is not followed by another.
            is_useful = hinted in self._clients and hinted != failed
            self._was_hinted = is_useful and not self._was_hinted
            if self._was_hinted:
                self._leader = str(hinted)
                return
            position = self._addresses.index(failed) + 1
            self._leader = self._addresses[position % len(self._addresses)]
        time.sleep(_PAUSE_S)
