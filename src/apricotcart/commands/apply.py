"""``apricotcart apply``: make the cluster hold what a file declares."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from apricotcart.commands.changes import needed_changes
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, revision_of
from apricotcart.commands.operator_client import OperatorClient
from apricotcart.commands.resources_file import read_resources


class ApplyCommand(OperatorCommand):
    """Applies all changes of a file at once, or none of them.

    Resources that the file does not name stay as they are. If a resource
    changes between the comparison and the change, nothing is changed and
    the exit code is 4.
    """

    name = 'apply'
    summary = 'make the cluster hold what a file declares'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the file and whether to show the changes only."""
        parser.add_argument('file', metavar='FILE', help='JSON or INI file')
        parser.add_argument(
            '--dry-run',
            action='store_true',
            help='show the changes without making them',
        )
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Compare, show and, unless it is a dry run, apply."""
        changes = needed_changes(client, read_resources(args.file))
        if not changes:
            console.write('no changes')
            return OK
        if args.dry_run:
            console.write('\n'.join(change.text() for change in changes))
            return OK
        answer = client.apply([change.to_wire() for change in changes])
        console.write(f'{len(changes)} changed, {revision_of(answer)}')
        return OK
