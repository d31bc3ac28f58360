"""``apricotcart members``: show or remove control hosts."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Final

from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, add_output_argument
from apricotcart.commands.operator_client import OperatorClient

_PARTS: Final = ('leader', 'members', 'entry_hosts')


class MembersCommand(OperatorCommand):
    """Shows the control hosts and entry hosts, or removes a control host.

    A control host that starts on an empty data folder joins by itself and
    replaces its earlier incarnation. Only one that will not return has to be
    removed, by its node id (name and incarnation).
    """

    name = 'members'
    summary = 'show the hosts, or remove a control host that will not return'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the member to remove and the form of the answer."""
        parser.add_argument(
            '--remove', metavar='NODE_ID', help='remove this control host'
        )
        add_output_argument(parser)
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Remove the member, if one is given, and show the members."""
        if args.remove:
            console.show(client.remove_member(args.remove), args.output)
            return OK
        status = client.read('/v1/status')
        parts = {name: status[name] for name in _PARTS if name in status}
        console.show(parts, args.output)
        return OK
