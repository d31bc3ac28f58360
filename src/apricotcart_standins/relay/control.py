"""Listener and control interface of the relay."""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING, Any

from apricotcart_standins.api import StandIn, reply_not_found
from apricotcart_standins.relay.pump import Pump, close_quietly
from apricotcart_standins.web import STATUS_OK

if TYPE_CHECKING:
    import argparse

    from apricotcart_standins.web import Call

UP = 'up'
DOWN = 'down'
BOTH = 'both'

_BACKLOG = 128
_CONNECT_TIMEOUT_S = 5


class RelayControl(StandIn):
    """Relays TCP connections and injects faults set by ``POST /relay``.

    The body sets any of these fields; ``GET /relay`` returns all but
    ``drop``:

    * ``delay_s``: latency added in each direction, in seconds
    * ``cut``: ``up`` (towards the target), ``down``, ``both`` or empty;
      bytes of a cut direction are buffered
    * ``refuse``: true closes each new connection
    * ``drop``: true closes all open connections once

    Parameters
    ----------
    listen : tuple of str and int
        Address to listen on; port 0 selects a free one.
    target : tuple of str and int
        Address to connect to.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        target: tuple[str, int],
    ) -> None:
        """Open the listener and accept connections in a thread."""
        super().__init__()
        self._target = target
        self._delay_s: float = 0
        self._cut = ''
        self._refuse = False
        self._resets = 0
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self._listener = socket.create_server(listen, backlog=_BACKLOG)
        threading.Thread(target=self._accept_connections, daemon=True).start()

    @classmethod
    def from_options(cls, options: argparse.Namespace) -> RelayControl:
        """Build the stand-in from the options of the command line."""
        host, _, port = options.target.rpartition(':')
        return cls((options.host, options.port), (host, int(port)))

    @property
    def port(self) -> int:
        """Port on which connections are accepted."""
        port: int = self._listener.getsockname()[1]
        return port

    def set_faults(self, fields: dict[str, Any]) -> None:
        """Set the fields of a POST /relay body; keep all others."""
        self._delay_s = float(fields.get('delay_s', self._delay_s))
        self._cut = fields.get('cut', self._cut) or ''
        self._refuse = bool(fields.get('refuse', self._refuse))
        if fields.get('drop'):
            self._close_pairs()

    def answer(self, call: Call) -> None:
        """Set or return the faults of the relay."""
        if call.path != '/relay':
            reply_not_found(call)
            return
        if call.method == 'POST':
            self.set_faults(call.json())
        call.reply(STATUS_OK, self.get_status())

    def get_status(self) -> dict[str, Any]:
        """Return the injected faults and the counts of connections."""
        return {
            'port': self.port,
            'delay_s': self._delay_s,
            'cut': self._cut,
            'refuse': self._refuse,
            'connections': sum(_is_open(pair[0]) for pair in self._pairs),
            'resets': self._resets,
        }

    def _close_pairs(self) -> None:
        for pair in self._pairs:
            for sock in pair:
                close_quietly(sock)
        self._pairs = []

    def _accept_connections(self) -> None:
        while self._listener.fileno() >= 0:
            conn, _ = self._listener.accept()
            threading.Thread(
                target=self._relay,
                args=(conn,),
                daemon=True,
            ).start()

    def _relay(self, conn: socket.socket) -> None:
        if self._refuse:
            close_quietly(conn)
            return
        time.sleep(self._delay_s)
        try:
            upstream = socket.create_connection(
                self._target, _CONNECT_TIMEOUT_S
            )
        except OSError:
            close_quietly(conn)
            return
        upstream.settimeout(None)
        for sock in (conn, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pairs = [pair for pair in self._pairs if _is_open(pair[0])]
        self._pairs.append((conn, upstream))
        up = self._build_pump(conn, upstream, UP)
        down = self._build_pump(upstream, conn, DOWN)
        up.peer = down
        down.peer = up
        up.start()
        down.start()

    def _build_pump(
        self,
        source: socket.socket,
        target: socket.socket,
        direction: str,
    ) -> Pump:
        return Pump(
            source,
            target,
            lambda: self._delay_s,
            lambda: self._cut in {direction, BOTH},
            self._count_reset,
        )

    def _count_reset(self) -> None:
        self._resets += 1


def _is_open(sock: socket.socket) -> bool:
    return sock.fileno() >= 0
