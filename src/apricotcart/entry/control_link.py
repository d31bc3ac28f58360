"""Requests to the leader of the control hosts."""

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

# Timeout of a call to one control host; after it, the next one is called.
_HOST_TIMEOUT_S = 0.7
_RETRY_DELAY_S = 0.05
_ADDRESS = 'address'


class ControlLink:
    """Finds the leader of the control hosts and caches its address.

    Parameters
    ----------
    clients : dict of str to RequestClient
        The client of each control host, by address.
    """

    __slots__ = (
        '_addresses',
        '_clients',
        '_leader',
        '_lock',
        '_is_leader_hinted',
    )

    def __init__(self, clients: dict[str, RequestClient]) -> None:
        self._clients = clients
        self._addresses: Sequence[str] = list(clients)
        self._leader = self._addresses[0]
        self._is_leader_hinted = False
        self._lock = threading.Lock()

    def command(
        self,
        command: WireMessage,
        timeout_s: float,
        traceparent: str = '',
    ) -> WireMessage:
        """Commit a command to the replicated log.

        Parameters
        ----------
        command : dict
            The command, as a message.
        timeout_s : float
            Timeout of the answer in seconds.
        traceparent : str
            Trace context of the request that caused the command.

        Raises
        ------
        UnavailableError
            If the command was not acknowledged in time; it may or may not
            have been committed.
        """
        message = {'kind': 'command', 'command': command}
        if traceparent:
            message['traceparent'] = traceparent
        return self.call(message, timeout_s)

    def call(self, message: WireMessage, timeout_s: float) -> WireMessage:
        """Call the leader, following the hints of hosts that do not lead.

        Raises
        ------
        UnavailableError
            If no leader answered in time.
        """
        deadline = time.monotonic() + timeout_s
        failure = 'no control host was called'
        while True:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                raise UnavailableError(f'no leader answered in time: {failure}')
            address = self._leader
            try:
                return self._call_host(
                    address, message, min(remaining_s, _HOST_TIMEOUT_S)
                )
            except (NotLeaderError, UnavailableError, CodecError) as exc:
                failure = exc.message
                self._switch_host(address, exc.context)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()

    def _call_host(
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

    def _switch_host(self, failed: str, hint: dict[str, Any]) -> None:
        with self._lock:
            if self._leader != failed:
                return
            hinted_address = hint.get(_ADDRESS)
            # Two hosts that name each other as leader must not prevent calls
            # to a third, so after a hint that failed the next hint is ignored.
            is_usable = (
                hinted_address in self._clients and hinted_address != failed
            )
            self._is_leader_hinted = is_usable and not self._is_leader_hinted
            if self._is_leader_hinted:
                self._leader = str(hinted_address)
                return
            position = self._addresses.index(failed) + 1
            self._leader = self._addresses[position % len(self._addresses)]
        time.sleep(_RETRY_DELAY_S)
