"""Runs one stand-in as a process."""

from __future__ import annotations

import signal
import sys
import threading
from types import MappingProxyType
from typing import TYPE_CHECKING

from apricotcart_standins.cloud.app import PlatformStandIn
from apricotcart_standins.engine.app import EngineStandIn
from apricotcart_standins.options import build_parser, control_port
from apricotcart_standins.relay.control import RelayControl
from apricotcart_standins.service import ServiceStandIn
from apricotcart_standins.web import Server

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable, Mapping, Sequence

    from apricotcart_standins.api import StandIn

_KINDS: Mapping[str, Callable[[argparse.Namespace], StandIn]]
_KINDS = MappingProxyType(
    {
        'engine': EngineStandIn.from_options,
        'service': ServiceStandIn.from_options,
        'platform': PlatformStandIn.from_options,
        'relay': RelayControl.from_options,
    }
)


def build_stand_in(options: argparse.Namespace) -> StandIn:
    """Build the stand-in selected on the command line."""
    return _KINDS[options.kind](options)


def run(arguments: Sequence[str] | None = None) -> int:
    """Serve until SIGTERM or SIGINT and return the exit status.

    The base URL is written to standard output once the server accepts
    requests; for a relay it is the URL of the control port.
    """
    options = build_parser().parse_args(arguments)
    address = (options.host, control_port(options))
    server = Server(address, build_stand_in(options))
    stopped = threading.Event()
    _stop_on_signals(stopped)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    sys.stdout.write(f'{server.url}\n')
    sys.stdout.flush()
    stopped.wait()
    server.shutdown()
    server.server_close()
    return 0


def _stop_on_signals(stopped: threading.Event) -> None:
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
