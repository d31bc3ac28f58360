"""``apricotcart diff``: compare a file with what the cluster holds."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from apricotcart.commands.changes import needed_changes
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import FAILURE, OK
from apricotcart.commands.operating import OperatorCommand
from apricotcart.commands.operator_client import OperatorClient
from apricotcart.commands.resources_file import read_resources


class DiffCommand(OperatorCommand):
    """Shows the changes that ``apply`` would make.

    The exit code is 1 if there are any, as with diff(1).
    """

    name = 'diff'
    summary = 'show how a file differs from what the cluster holds'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the file."""
        parser.add_argument('file', metavar='FILE', help='JSON or INI file')
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Show every difference."""
        changes = needed_changes(client, read_resources(args.file))
        for change in changes:
            console.write(change.text())
        return FAILURE if changes else OK
