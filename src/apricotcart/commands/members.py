"""``apricotcart members``: show or remove control hosts."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Final

from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, add_output_argument
from apricotcart.commands.operator_client import OperatorClient

_STATUS_FIELDS: Final = ('leader', 'members', 'entry_hosts')


class MembersCommand(OperatorCommand):
    """Lists the control hosts and entry hosts, or removes a control host.

    A control host that starts with an empty data folder joins the cluster and
    replaces its previous incarnation. Only a host that will not return must be
    removed, by its node id (name and incarnation).
    """

    name = 'members'
    summary = 'show the hosts, or remove a control host that will not return'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the member to remove and the output format."""
        parser.add_argument(
            '--remove',
            metavar='NODE_ID',
            help='node id of the control host to remove',
        )
        add_output_argument(parser)
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Remove the given member, or list all members."""
        if args.remove:
            console.show(client.remove_member(args.remove), args.output)
            return OK
        status = client.read('/v1/status')
        fields = {
            name: status[name] for name in _STATUS_FIELDS if name in status
        }
        console.show(fields, args.output)
        return OK
