"""Base of the subcommands that run a server until SIGTERM."""

from __future__ import annotations

import importlib
import logging
import signal
import sys
from abc import abstractmethod
from argparse import ArgumentParser, Namespace
from contextlib import closing
from typing import Any, ClassVar, TextIO

from apricotcart.commands.api import Command
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import FAILURE, OK
from apricotcart.errors.tree import ApricotcartError
from apricotcart.observability.logs import Log
from apricotcart.process.heap import share_one_heap

_log = logging.getLogger(__name__)


class ServeCommand(Command):
    """Reads the settings, configures logging and runs a server."""

    server_module: ClassVar[str]
    server_class: ClassVar[str]

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the settings file."""
        parser.add_argument(
            '--settings', required=True, metavar='FILE', help='settings file'
        )

    @abstractmethod
    def read_settings(self, path: str) -> Any:
        """Read and validate the settings file."""

    def log_stream(self) -> TextIO:
        """Return the stream for the log if no log file is set."""
        return sys.stderr

    def run(self, args: Namespace, console: Console) -> int:
        """Run the server until SIGTERM and return its exit code."""
        share_one_heap()
        # The server replaces this handler once it can stop gracefully.
        signal.signal(signal.SIGTERM, _exit_now)
        cfg = self.read_settings(args.settings)
        log = Log.from_config(cfg.log, cfg.host.name, self.log_stream())
        with closing(log):
            return self._serve(cfg)

    def _serve(self, cfg: Any) -> int:
        # A late import, because other subcommands do not need the servers.
        module = importlib.import_module(self.server_module)
        try:
            server = getattr(module, self.server_class).from_config(cfg)
        except ApricotcartError as exc:
            _log.error('the server failed to start: %s', exc.message)
            raise
        try:
            return int(server.run())
        except Exception:
            _log.exception('the server stopped on an unexpected error')
            return FAILURE


def _exit_now(signal_number: int, frame: Any) -> None:
    sys.exit(OK)
