"""``apricotcart get``: show one resource."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, add_output_argument
from apricotcart.commands.operator_client import OperatorClient, resource_path
from apricotcart.commands.resources_file import KINDS


class GetCommand(OperatorCommand):
    """Prints a resource with its version, revision and status."""

    name = 'get'
    summary = 'show one resource'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the resource and the output format."""
        parser.add_argument('kind', choices=KINDS)
        parser.add_argument('name')
        add_output_argument(parser)
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Print the resource."""
        document = client.read(resource_path(args.kind, args.name))
        console.show(document, args.output)
        return OK
