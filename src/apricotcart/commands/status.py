"""``apricotcart status``: show the state of the cluster."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, add_output_argument
from apricotcart.commands.operator_client import OperatorClient


class StatusCommand(OperatorCommand):
    """Prints the leader, the members, the entry hosts and the endpoints."""

    name = 'status'
    summary = 'show the state of the cluster'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the output format."""
        add_output_argument(parser)
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Print the status that the leader returns."""
        console.show(client.read('/v1/status'), args.output)
        return OK
