"""``apricotcart apply``: apply the resources that a file declares."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from apricotcart.commands.changes import find_changes
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, format_revision
from apricotcart.commands.operator_client import OperatorClient
from apricotcart.commands.resources_file import read_resources


class ApplyCommand(OperatorCommand):
    """Applies all changes of a file atomically.

    Resources that the file does not declare are left unchanged. If a resource
    changes between the comparison and the update, nothing is changed and
    the exit code is 4.
    """

    name = 'apply'
    summary = 'apply the resources that a file declares'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the file and the option for a dry run."""
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
        """Compare and apply the changes, or print them on a dry run."""
        changes = find_changes(client, read_resources(args.file))
        if not changes:
            console.write('no changes')
            return OK
        if args.dry_run:
            console.write('\n'.join(change.format_diff() for change in changes))
            return OK
        answer = client.apply([change.to_wire() for change in changes])
        console.write(f'{len(changes)} changed, {format_revision(answer)}')
        return OK
