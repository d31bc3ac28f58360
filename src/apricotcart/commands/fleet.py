"""Subcommands that the platform starts: gateway and coordinator."""

from __future__ import annotations

import os
import sys
from argparse import ArgumentParser, Namespace
from typing import ClassVar, Final, NoReturn, TextIO

from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import FAILURE
from apricotcart.commands.serving import ServeCommand
from apricotcart.errors.tree import SettingsError
from apricotcart.settings.fleet import FleetConfig

# The platform sets this variable to the path of the settings file.
SETTINGS_VARIABLE: Final = 'APRICOTCART_CONFIG'


def end_process(code: int) -> NoReturn:
    """Exit immediately, without waiting for other threads.

    The threads of the HTTP servers would keep the process alive until it is
    killed.
    """
    sys.stdout.flush()
    os._exit(code)


class FleetCommand(ServeCommand):
    """Base of the servers whose settings file the platform writes."""

    required_addresses: ClassVar[tuple[str, ...]]

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the settings file."""
        parser.add_argument(
            '--settings',
            metavar='FILE',
            default=os.environ.get(SETTINGS_VARIABLE),
            help=f'settings file (default: ${SETTINGS_VARIABLE})',
        )

    def log_stream(self) -> TextIO:
        """Return standard output, which the platform stores."""
        return sys.stdout

    def read_settings(self, path: str) -> FleetConfig:
        """Read and validate the settings file."""
        return FleetConfig.from_file(path, *self.required_addresses)

    def run(self, args: Namespace, console: Console) -> int:
        """Run the server until SIGTERM and exit with its code."""
        if not args.settings:
            console.error(
                f'no settings file: pass --settings or set ${SETTINGS_VARIABLE}'
            )
            return FAILURE
        try:
            end_process(super().run(args, console))
        except SettingsError as exc:
            # The platform stores standard output only.
            console.write(exc.message)
            raise


class GatewayCommand(FleetCommand):
    """Forwards callers' requests to endpoints until SIGTERM."""

    name = 'gateway'
    summary = 'run a gateway, which forwards requests to endpoints'
    server_module = 'apricotcart.gateway.server'
    server_class = 'GatewayServer'
    required_addresses = ('callers', 'readiness')


class CoordinatorCommand(FleetCommand):
    """Replicates the state that gateways share until SIGTERM."""

    name = 'coordinator'
    summary = (
        'run a coordinator, which replicates the state that gateways share'
    )
    server_module = 'apricotcart.coordinator.server'
    server_class = 'CoordinatorServer'
    required_addresses = ('operators', 'directory')
