"""Thread that receives messages from other control hosts."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from apricotcart.consensus.messages import Message, message_from_wire
from apricotcart.control.joining import JOIN
from apricotcart.errors.tree import ApricotcartError
from apricotcart.transport.api import PeerLinks, WireMessage

_LOG = logging.getLogger(__name__)
_RECEIVE_TIMEOUT_S = 0.5


class PeerReceiver:
    """Receives messages and dispatches them by kind.

    Parameters
    ----------
    links : PeerLinks
        Links to the other control hosts.
    deliver : callable
        Called with each decoded consensus message.
    on_join : callable
        Called with each join request.
    """

    __slots__ = ('_deliver', '_links', '_on_join', '_stopping')

    def __init__(
        self,
        links: PeerLinks,
        deliver: Callable[[Message], None],
        on_join: Callable[[WireMessage], None],
    ) -> None:
        self._links = links
        self._deliver = deliver
        self._on_join = on_join
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, daemon=True, name='peers').start()

    def stop(self) -> None:
        """Stop the thread after the next message or timeout."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            wire = self._links.receive(_RECEIVE_TIMEOUT_S)
            if wire is not None:
                self._dispatch(wire)

    def _dispatch(self, wire: WireMessage) -> None:
        if wire.get('kind') == JOIN:
            self._on_join(wire)
            return
        try:
            message = message_from_wire(wire)
        except ApricotcartError as exc:
            _LOG.warning('dropped an invalid peer message: %s', exc)
            return
        self._deliver(message)
