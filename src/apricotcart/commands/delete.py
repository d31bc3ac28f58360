"""``apricotcart delete``: delete a resource."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, format_revision
from apricotcart.commands.operator_client import OperatorClient
from apricotcart.commands.resources_file import KINDS


class DeleteCommand(OperatorCommand):
    """Deletes a resource that no other resource references."""

    name = 'delete'
    summary = 'delete a resource'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the resource and its expected version."""
        parser.add_argument('kind', choices=KINDS)
        parser.add_argument('name')
        parser.add_argument(
            '--version',
            type=int,
            help='delete the resource only if it has this version',
        )
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Delete the resource."""
        answer = client.delete(args.kind, args.name, args.version)
        console.write(f'deleted, {format_revision(answer)}')
        return OK
