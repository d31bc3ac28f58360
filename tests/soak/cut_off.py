"""Runs a gateway that can be cut off from all endpoints.

Its connections to endpoints come from the address of its host, so that the
stand-ins can tell gateways apart. Arguments: the control file, the host's
address, and those of the program.
"""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path
from typing import Any, Final

from apricotcart.run import run
from soak.cuts import CutControl, CutWay
from soak.endpoints import ENDPOINT_PORT

_POLL_S: Final = 0.05
_connect: Any = socket.socket.connect


class CutOffConnector:
    """Connects sockets unless they are cut off.

    Parameters
    ----------
    control : CutControl
        Way of the cut.
    ip : str
        Source address of connections to endpoints.
    """

    __slots__ = ('_control', '_ip')

    def __init__(self, control: CutControl, ip: str) -> None:
        self._control = control
        self._ip = ip

    def connect(self, sock: Any, address: Any) -> None:
        """Connect a socket; takes the place of ``socket.connect``."""
        if sock.family == socket.AF_INET and address[1] == ENDPOINT_PORT:
            self._check(sock)
            sock.bind((self._ip, 0))
        _connect(sock, address)

    def _check(self, sock: socket.socket) -> None:
        way = self._control.read()
        if way is CutWay.SILENT:
            self._hang(sock)
        elif way is not CutWay.NONE:
            raise ConnectionRefusedError('cut off')

    def _hang(self, sock: socket.socket) -> None:
        timeout_s = sock.gettimeout()
        since = time.monotonic()
        while self._control.read() is CutWay.SILENT:
            if timeout_s is not None and time.monotonic() > since + timeout_s:
                raise TimeoutError('timed out')
            time.sleep(_POLL_S)


if __name__ == '__main__':
    connector = CutOffConnector(CutControl(Path(sys.argv[1])), sys.argv[2])
    socket.socket.connect = (  # type: ignore
        lambda sock, address: connector.connect(sock, address)
    )
    sys.exit(run(sys.argv[3:]))
