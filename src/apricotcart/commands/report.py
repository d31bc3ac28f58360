"""``apricotcart report``: show service level attainment and usage."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand, add_output_argument
from apricotcart.commands.operator_client import OperatorClient


class ReportCommand(OperatorCommand):
    """Prints attainment by class, usage, waste and spending."""

    name = 'report'
    summary = 'show attainment by class, usage, waste and spending'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the output format."""
        add_output_argument(parser)
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Print the report of the leader."""
        console.show(client.read('/v1/report'), args.output)
        return OK
