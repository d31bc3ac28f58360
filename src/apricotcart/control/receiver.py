"""Thread that takes messages of other control hosts."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from apricotcart.consensus.messages import Message, message_from_wire
from apricotcart.control.joining import JOIN
from apricotcart.errors.tree import ApricotcartError
from apricotcart.transport.api import PeerLinks, WireMessage

_LOG = logging.getLogger(__name__)
_WAIT_S = 0.5


class PeerReceiver:
    """Hands the messages of a link to a consumer.

    Parameters
    ----------
    links : PeerLinks
        Where messages come from.
    deliver : callable
        Takes each decoded consensus message.
    on_join : callable
        Takes each request of a host that wants to become a member.
    """

    __slots__ = ('_deliver', '_links', '_on_join', '_stopping')

    def __init__(
        self,
        links: PeerLinks,
        deliver: Callable[[Message], None],
        on_join: Callable[[WireMessage], None],
    ) -> None:
        """Prepare the thread."""
        self._links = links
        self._deliver = deliver
        self._on_join = on_join
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, daemon=True, name='peers').start()

    def stop(self) -> None:
        """Stop the thread at the next message or time-out."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            wire = self._links.receive(_WAIT_S)
            if wire is not None:
                self._take(wire)

    def _take(self, wire: WireMessage) -> None:
        if wire.get('kind') == JOIN:
            self._on_join(wire)
            return
        try:
            message = message_from_wire(wire)
        except ApricotcartError as exc:
            _LOG.warning('dropped a peer message: %s', exc)
            return
        self._deliver(message)
