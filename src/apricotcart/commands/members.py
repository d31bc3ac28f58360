"""``apricotcart members``: show the control hosts and entry hosts."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from typing import Final

from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, add_output_argument
from apricotcart.commands.operator_client import OperatorClient

_PARTS: Final = ('leader', 'members', 'hosts')


class MembersCommand(OperatorCommand):
    """Shows who votes, who learns, who leads, and the entry hosts.

    Members change by themselves: a control host that starts on an empty
    data folder joins and replaces its earlier incarnation.
    """

    name = 'members'
    summary = 'show the control hosts and entry hosts'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the form of the answer."""
        add_output_argument(parser)
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Show these parts of the leader's status."""
        status = client.read('/v1/status')
        parts = {name: status[name] for name in _PARTS if name in status}
        console.show(parts, args.output)
        return OK
