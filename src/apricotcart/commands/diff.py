"""``apricotcart diff``: compare a file with the resources of the cluster."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from apricotcart.commands.changes import find_changes
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import FAILURE, OK
from apricotcart.commands.operating import OperatorCommand
from apricotcart.commands.operator_client import OperatorClient
from apricotcart.commands.resources_file import read_resources


class DiffCommand(OperatorCommand):
    """Prints the changes that ``apply`` would make.

    Like diff(1), it exits with 1 if there are any.
    """

    name = 'diff'
    summary = 'show the differences between a file and the cluster'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the file."""
        parser.add_argument('file', metavar='FILE', help='JSON or INI file')
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Print every difference."""
        changes = find_changes(client, read_resources(args.file))
        for change in changes:
            console.write(change.format_diff())
        return FAILURE if changes else OK
