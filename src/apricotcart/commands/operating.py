"""Base of the subcommands that talk to a control host."""

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
_TIMEOUT_S: Final = 15


class OperatorCommand(Command):
    """Connects to the control hosts named by arguments or environment."""

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare where the control hosts are and how to reach them."""
        group = parser.add_argument_group('control hosts')
        group.add_argument(
            '--control',
            metavar='URL[,URL]',
            default=os.environ.get(_CONTROL_VARIABLE),
            help=f'control hosts (or {_CONTROL_VARIABLE})',
        )
        group.add_argument(
            '--token-file',
            metavar='FILE',
            default=os.environ.get(_TOKEN_VARIABLE),
            help=f'file with the operator token (or {_TOKEN_VARIABLE})',
        )
        group.add_argument(
            '--ca',
            metavar='FILE',
            default=os.environ.get(_CA_VARIABLE),
            help=f"the control hosts' certificate authority ({_CA_VARIABLE})",
        )
        group.add_argument(
            '--timeout-s',
            type=float,
            default=_TIMEOUT_S,
            help='how long to repeat a request (default: %(default)s)',
        )

    def run(self, args: Namespace, console: Console) -> int:
        """Connect and do the command's work."""
        return self.operate(_client(args), args, console)

    @abstractmethod
    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Do the command's work and give its exit code."""


def add_output_argument(parser: ArgumentParser) -> None:
    """Declare the choice between text and JSON."""
    parser.add_argument(
        '--output',
        choices=('text', 'json'),
        default='text',
        help='form of the answer (default: %(default)s)',
    )


def revision_of(answer: Mapping[str, Any]) -> str:
    """Say which revision a change made."""
    return f'revision {answer["revision"]}'


def _client(args: Namespace) -> OperatorClient:
    if not args.control:
        raise SettingsError(f'give --control or set {_CONTROL_VARIABLE}')
    if not args.token_file:
        raise SettingsError(f'give --token-file or set {_TOKEN_VARIABLE}')
    address = WebAddress()
    try:
        addresses = tuple(
            address.parse(word.strip(), Path())
            for word in args.control.split(',')
        )
    except FieldError as exc:
        raise SettingsError(f'control hosts: {exc.message}') from exc
    return OperatorClient.from_token_file(
        addresses, args.token_file, args.timeout_s, args.ca
    )
