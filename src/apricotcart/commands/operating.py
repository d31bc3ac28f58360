"""Base of the subcommands that connect to a control host."""

from __future__ import annotations

import os
from abc import abstractmethod
from argparse import ArgumentParser, Namespace
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from apricotcart.commands.api import Command
from apricotcart.commands.console import Console
from apricotcart.commands.operator_client import OperatorClient
from apricotcart.errors.tree import SettingsError
from apricotcart.settings.addresses import WebAddress
from apricotcart.settings.kinds import FieldError

_CONTROL_VARIABLE: Final = 'APRICOTCART_CONTROL'
_TOKEN_VARIABLE: Final = 'APRICOTCART_TOKEN_FILE'
_CA_VARIABLE: Final = 'APRICOTCART_CA'
_DEFAULT_TIMEOUT_S: Final = 15


class OperatorCommand(Command):
    """Connects to control hosts given by arguments or the environment."""

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the addresses, credentials and timeout for control hosts."""
        group = parser.add_argument_group('control hosts')
        group.add_argument(
            '--control',
            metavar='URL[,URL]',
            default=os.environ.get(_CONTROL_VARIABLE),
            help=f'URLs of the control hosts (default: ${_CONTROL_VARIABLE})',
        )
        group.add_argument(
            '--token-file',
            metavar='FILE',
            default=os.environ.get(_TOKEN_VARIABLE),
            help=f'file with the operator token (default: ${_TOKEN_VARIABLE})',
        )
        group.add_argument(
            '--ca',
            metavar='FILE',
            default=os.environ.get(_CA_VARIABLE),
            help=f'CA file of the control hosts (default: ${_CA_VARIABLE})',
        )
        group.add_argument(
            '--timeout-s',
            type=float,
            default=_DEFAULT_TIMEOUT_S,
            help='seconds to retry a request (default: %(default)s)',
        )

    def run(self, args: Namespace, console: Console) -> int:
        """Create a client and run the command."""
        return self.operate(_build_client(args), args, console)

    @abstractmethod
    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Run the command and return its exit code."""


def add_output_argument(parser: ArgumentParser) -> None:
    """Declare the output format."""
    parser.add_argument(
        '--output',
        choices=('text', 'json'),
        default='text',
        help='output format (default: %(default)s)',
    )


def format_revision(answer: Mapping[str, Any]) -> str:
    """Return the text for the revision that a change created."""
    return f'revision {answer["revision"]}'


def _build_client(args: Namespace) -> OperatorClient:
    if not args.control:
        raise SettingsError(
            f'no control host: pass --control or set {_CONTROL_VARIABLE}'
        )
    if not args.token_file:
        raise SettingsError(
            f'no token file: pass --token-file or set {_TOKEN_VARIABLE}'
        )
    address_field = WebAddress()
    try:
        addresses = tuple(
            address_field.parse(url.strip(), Path())
            for url in args.control.split(',')
        )
    except FieldError as exc:
        raise SettingsError(f'control hosts: {exc.message}') from exc
    return OperatorClient.from_token_file(
        addresses, args.token_file, args.timeout_s, args.ca
    )
